#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** One write-once register: the first value written under a key stays. */
struct RegisterWrite
{
  std::string mKey;   /**< `KIND/TEAM/KEY`; registers of one TEAM/KEY share a shard. */
  std::string mValue; /**< JSON text. */
  WallTime mExpires;
};

enum class RegisterResult
{
  Won,        /**< Our value is durable. */
  Lost,       /**< Another value is durable; it is given. */
  NotWritten, /**< The store is down; certainly nothing was written. */
  Unresolved, /**< The store's answer was lost and it cannot yet be read back. */
  Absent,     /**< Answer to a read: nothing is durable under the key. */
};

/** The outcome of one register write. */
struct RegisterOutcome
{
  std::uint64_t mTicket = 0; /**< As given to the write. */
  RegisterResult mResult = RegisterResult::Unresolved;
  std::string mValue; /**< The durable value after Won or Lost; a read that finds one is Lost. */
};

/** One line of the bill. */
struct UsageRecord
{
  TeamName mTeam;
  RequestKey mKey;
  RequestId mRequest;
  std::string mModel; /**< `MODEL/NAME`, or the service. */
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
  double mPrice = 0;
  Verdict mVerdict = Verdict::Ran;
  WallTime mAt;
};

} // namespace skylarkchute
