#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <map>
#include <string>

namespace skylarkchute {

/** What one instance knows of one version. */
struct VersionRow
{
  ModelVersion mVersion;
  bool mStopped = false;   /**< By own evidence, a withdrawn roll or an alert. */
  double mRollPercent = 0; /**< Share of the traffic of the version that it replaces. */
};

/** The versions of the bundle in force, by id. */
class VersionTable
{
public:
  using Rows = std::map<VersionId, VersionRow>;

  /** Replaces the versions. A stop outlives the change unless the entry itself changed. */
  void Replace(const std::vector<ModelVersion>& aVersions);

  /** Returns the row of a version, or null. */
  VersionRow* Find(const VersionId& aId);
  const VersionRow* Find(const VersionId& aId) const;

  /** Returns whether the version may get new work. */
  bool IsUsable(const VersionId& aId) const;

  /** Stops a version on this instance. @returns true when it was not stopped before */
  bool Stop(const VersionId& aId);

  /** Returns every row, ordered by id. */
  Rows& All() { return mRows; }
  const Rows& All() const { return mRows; }

private:
  Rows mRows;
};

} // namespace skylarkchute
