#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

inline constexpr EventDescription kRegisterConflict{
  400,
  EventLevel::Debug,
  "register-conflict",
  "Another instance changed the register object first; the commit is retried on the new version."
};
inline constexpr EventDescription kRegisterReadBack{
  401,
  EventLevel::Info,
  "register-read-back",
  "The store's response to a register write was lost; the object is read back."
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
  "The instance that normally writes a register did not reply; this instance writes it itself."
};
inline constexpr EventDescription kClaimReleased{
  410,
  EventLevel::Info,
  "claim-released",
  "A claim was released before its request was dispatched; the key may be claimed again."
};
inline constexpr EventDescription kClaimHolderGone{
  411,
  EventLevel::Warning,
  "claim-holder-gone",
  "The instance that claimed a resent request cannot be reached; the caller gets may-have-run."
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
  "A backup peer did not accept usage records; the next peer is tried."
};
inline constexpr EventDescription kUsageUnprotected{
  421,
  EventLevel::Error,
  "usage-unprotected",
  "Usage records are neither durable nor held by a backup in time; responses wait no longer."
};
inline constexpr EventDescription kUsageRecovered{
  422,
  EventLevel::Warning,
  "usage-recovered",
  "This instance wrote usage records that it held as the backup of another instance."
};
inline constexpr EventDescription kUsageBatchTaken{
  423,
  EventLevel::Warning,
  "usage-batch-taken",
  "A backup wrote this instance's usage batch first; records missing from it go into the next one."
};

/** Returns the descriptions of all events of this module. */
std::vector<const EventDescription*> LedgerEvents();

} // namespace skylarkchute
