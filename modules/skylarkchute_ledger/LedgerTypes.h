#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** A write to a write-once register: the first value written under a key is final. */
struct RegisterWrite
{
  /** `KIND/TEAM/KEY`; registers with the same TEAM/KEY are in the same shard. */
  std::string mKey;
  std::string mValue; /**< JSON text. */
  WallTime mExpires;
};

enum class RegisterResult
{
  Won,        /**< The value of this write is durable. */
  Lost,       /**< Another value is durable; the outcome contains it. */
  NotWritten, /**< The store is down; nothing was written. */
  Unresolved, /**< The store's response was lost and no value can be read back yet. */
  Absent,     /**< Result of a read: no value is durable under the key. */
};

/** The outcome of one register write. */
struct RegisterOutcome
{
  std::uint64_t mOperationId = 0; /**< Id that the caller gave the write; not a request ticket. */
  RegisterResult mResult = RegisterResult::Unresolved;
  /** The durable value after Won or Lost; a read that finds a value returns Lost. */
  std::string mValue;
};

/** The usage of one request, for billing. */
struct UsageRecord
{
  TeamName mTeam;
  RequestKey mKey;
  RequestId mRequest;
  std::string mModel; /**< `MODEL/NAME` of the version, or the service. */
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
  double mPrice = 0;
  Verdict mVerdict = Verdict::Ran;
  WallTime mAt;
};

} // namespace skylarkchute
