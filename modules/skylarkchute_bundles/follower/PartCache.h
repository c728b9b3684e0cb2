#pragma once

#include "../parts/BundleHead.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Stores bundle parts that match their hash, by that hash. Retain removes the parts that are no
    longer referenced. */
class PartCache
{
public:
  /** Adds a part if its text matches its hash. @returns whether it matches */
  bool Add(const BundlePart& aPart);

  /** Returns the part with a hash, or null. */
  const BundlePart* Find(const std::string& aHash) const;

  /** Returns the hashes of a head's parts that are not in the cache. */
  std::vector<std::string> MissingOf(const BundleHead& aHead) const;

  /** Returns all parts of a head, named as in the head. All must be in the cache. */
  std::vector<BundlePart> PartsOf(const BundleHead& aHead) const;

  /** Removes every part that none of the heads references. */
  void Retain(const std::vector<const BundleHead*>& aHeads);

private:
  std::map<std::string, BundlePart> mParts;
};

} // namespace skylarkchute
