#pragma once

#include "../LedgerTypes.h"

namespace skylarkchute {

/** Usage records under one name: `usage/OWNER/SEQUENCE`, written if absent. Also the peer message
    `usage.backup`, which asks a peer to hold records until their batch is durable. */
struct UsageBatch
{
  IncarnationId mOwner;
  std::uint64_t mSequence = 0;
  std::vector<UsageRecord> mRecords;
};

/** Peer message `usage.drop`: the batch is durable and need not be held. */
struct UsageDrop
{
  IncarnationId mOwner;
  std::uint64_t mSequence = 0;
};

enum class UsageMessageKind
{
  Backup, /**< `usage.backup` */
  Drop,   /**< `usage.drop` */
};

/** A message to be sent as a peer call. */
struct UsageMessage
{
  std::uint64_t mId = 0; /**< Local to the ledger; the reply to a backup carries it. */
  InstanceId mTo;
  UsageMessageKind mKind = UsageMessageKind::Backup;
  std::string mParams; /**< JSON object text. */
  std::chrono::milliseconds mTimeout{ 0 };
};

/** Returns the object key of a batch. */
std::string UsageBatchKey(const IncarnationId& aOwner, std::uint64_t aSequence);

/** Return JSON object text. */
std::string EncodeUsageBatch(const UsageBatch& aBatch);
std::string EncodeUsageDrop(const UsageDrop& aDrop);

/** Return what the text says, or nothing when it cannot be read. */
std::optional<UsageBatch> DecodeUsageBatch(const std::string& aText);
std::optional<UsageDrop> DecodeUsageDrop(const std::string& aText);

} // namespace skylarkchute
