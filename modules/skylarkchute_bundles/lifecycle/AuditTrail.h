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

  /** Writes a record unless it exists. */
  boost::leaf::result<void> Write(const AuditRecord& aRecord);

  /** Returns the record of the bundle that a generation accepted; only generations below the head
      are sure to have one. */
  boost::leaf::result<std::optional<AuditRecord>> FindAcceptance(Generation aGeneration);

  /** Writes what is missing about the head and about the rolls it names, whoever moved them. */
  boost::leaf::result<void> Complete(const BundleHead& aHead);

  /** Returns the records since a time, oldest first. An attempt that became the head of its
      generation is left out, since its acceptance is there.
      @param aHead  the head in force, or nothing when there is none */
  boost::leaf::result<std::vector<AuditRecord>> Read(const std::optional<BundleHead>& aHead,
                                                     WallTime aSince);

private:
  StoreClient mStore;
};

} // namespace skylarkchute
