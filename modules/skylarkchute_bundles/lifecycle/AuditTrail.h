#pragma once

#include "AuditRecord.h"
#include "StoreClient.h"

#include <optional>
#include <vector>

namespace skylarkchute {

/** Writes and reads the audit records. Errors are of type LifecycleError. */
class AuditTrail
{
public:
  explicit AuditTrail(ObjectApi& aApi);

  /** Writes a record if it does not exist yet. */
  boost::leaf::result<void> Write(const AuditRecord& aRecord);

  /** Returns the record of the roll or revert that created a generation, or `std::nullopt`. Only
      generations before the one in force are guaranteed to have one. */
  boost::leaf::result<std::optional<AuditRecord>> FindAcceptance(Generation aGeneration);

  /** Writes the missing records of the head's acceptance and of withdrawals by the rolls that it
      lists, whichever operator or instance caused them. */
  boost::leaf::result<void> WriteMissingRecords(const BundleHead& aHead);

  /** Writes missing records, then returns all records since a time, oldest first. Attempts that
      succeeded are left out, since their acceptance has a record of its own.
      @param aHead  the head in force; empty before the first bundle */
  boost::leaf::result<std::vector<AuditRecord>> Read(const std::optional<BundleHead>& aHead,
                                                     WallTime aSince);

private:
  StoreClient mStore;
};

} // namespace skylarkchute
