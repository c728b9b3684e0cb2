#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <map>
#include <string>

namespace skylarkchute {

/** The state that one instance keeps for a version. */
struct VersionRow
{
  ModelVersion mVersion;
  bool mStopped = false;   /**< Due to own evidence, a withdrawn roll or an alert. */
  double mRollPercent = 0; /**< Share of the replaced version's traffic, 0 to 100. */
};

/** The versions of the bundle in force, by id. */
class VersionTable
{
public:
  using Rows = std::map<VersionId, VersionRow>;

  /** Replaces the versions. A stopped version stays stopped unless its state, label or model
      changes. */
  void Replace(const std::vector<ModelVersion>& aVersions);

  /** Returns the row of a version; null if unknown. */
  VersionRow* Find(const VersionId& aId);
  const VersionRow* Find(const VersionId& aId) const;

  /** Returns whether the version may receive new requests. */
  bool IsUsable(const VersionId& aId) const;

  /** Stops the use of a version on this instance.
      @returns true if it exists and was not stopped before */
  bool Stop(const VersionId& aId);

  /** Returns all rows, ordered by id. */
  Rows& All() { return mRows; }
  const Rows& All() const { return mRows; }

private:
  Rows mRows;
};

} // namespace skylarkchute
