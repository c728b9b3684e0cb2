#pragma once

#include "../parts/BundleHead.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Intact bundle parts by hash. Holds the parts of the heads last retained and no others. */
class PartCache
{
public:
  /** Adds a part when its text matches the hash; returns whether it did. */
  bool Add(const BundlePart& aPart);

  /** Returns the part, or null. */
  const BundlePart* Find(const std::string& aHash) const;

  /** Returns the hashes of a head's parts that are not held. */
  std::vector<std::string> MissingOf(const BundleHead& aHead) const;

  /** Returns all parts of a head under the names that the head gives; none may be missing. */
  std::vector<BundlePart> PartsOf(const BundleHead& aHead) const;

  /** Drops every part that none of the heads refers to. */
  void Retain(const std::vector<const BundleHead*>& aHeads);

private:
  std::map<std::string, BundlePart> mParts;
};

} // namespace skylarkchute
