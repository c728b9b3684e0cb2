#pragma once

#include "../LedgerTypes.h"

namespace skylarkchute {

/** Usage records stored in one object, `usage/OWNER/SEQUENCE`, which is written only if absent.
    Also the content of the peer message `usage.backup`, which asks a peer to hold the records until
    their batch is durable. */
struct UsageBatch
{
  IncarnationId mOwner;
  std::uint64_t mSequence = 0;
  std::vector<UsageRecord> mRecords;
};

/** Content of the peer message `usage.drop`: the batch is durable, the peer discards its copy. */
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

/** A message to send to a peer. */
struct UsageMessage
{
  std::uint64_t mId = 0; /**< Unique in this ledger; passed to OnBackupReply with the reply. */
  InstanceId mTo;
  UsageMessageKind mKind = UsageMessageKind::Backup;
  std::string mParams; /**< JSON object text. */
  std::chrono::milliseconds mTimeout{ 0 };
};

/** Returns the object key of a batch. */
std::string UsageBatchKey(const IncarnationId& aOwner, std::uint64_t aSequence);

/** Return the JSON text of a message. */
std::string EncodeUsageBatch(const UsageBatch& aBatch);
std::string EncodeUsageDrop(const UsageDrop& aDrop);

/** Return the decoded message, or nothing if the text is not valid. */
std::optional<UsageBatch> DecodeUsageBatch(const std::string& aText);
std::optional<UsageDrop> DecodeUsageDrop(const std::string& aText);

} // namespace skylarkchute
