#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

inline constexpr EventDescription kRegisterConflict{
  400,
  EventLevel::Debug,
  "register-conflict",
  "Another instance moved the same register object; the commit is repeated on its new version."
};
inline constexpr EventDescription kRegisterReadBack{
  401,
  EventLevel::Info,
  "register-read-back",
  "The store's answer to a register write was lost; the object is read back."
};
inline constexpr EventDescription kRegisterStoreDown{
  402,
  EventLevel::Warning,
  "register-store-down",
  "The store refused register writes; the requests that need them are answered not-run."
};
inline constexpr EventDescription kRegisterCorrupt{
  403,
  EventLevel::Error,
  "register-corrupt",
  "A register object cannot be read; writes to its shard are refused."
};
inline constexpr EventDescription kRegisterForwardFailed{
  404,
  EventLevel::Info,
  "register-forward-failed",
  "The soft owner of a register did not answer; this instance writes it itself."
};
inline constexpr EventDescription kClaimReleased{
  410,
  EventLevel::Info,
  "claim-released",
  "A claim was given up by its claimant before it was dispatched; the key may be claimed again."
};
inline constexpr EventDescription kClaimHolderGone{
  411,
  EventLevel::Warning,
  "claim-holder-gone",
  "The claimant of a resent request cannot be asked; the caller is told may-have-run."
};
inline constexpr EventDescription kClaimKeyReused{
  412,
  EventLevel::Warning,
  "claim-key-reused",
  "An idempotency key was used again for another request; the second one is refused."
};
inline constexpr EventDescription kUsageBackupFailed{
  420,
  EventLevel::Warning,
  "usage-backup-failed",
  "A backup peer did not take usage records; the next peer is asked."
};
inline constexpr EventDescription kUsageUnprotected{
  421,
  EventLevel::Error,
  "usage-unprotected",
  "Usage records are neither durable nor held by a backup within the bound; answers go on."
};
inline constexpr EventDescription kUsageRecovered{
  422,
  EventLevel::Warning,
  "usage-recovered",
  "The usage records of an instance that is gone were written by its backup."
};
inline constexpr EventDescription kUsageBatchTaken{
  423,
  EventLevel::Warning,
  "usage-batch-taken",
  "A backup had written this instance's batch; records that it lacks go into the next batch."
};

/** Returns every event of the ledger. */
std::vector<const EventDescription*> LedgerEvents();

} // namespace skylarkchute
