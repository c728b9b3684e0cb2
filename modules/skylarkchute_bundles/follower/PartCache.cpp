#include "PartCache.h"

#include <cassert>
#include <set>

namespace skylarkchute {

bool PartCache::Add(const BundlePart& aPart)
{
  if (!aPart.IsIntact()) {
    return false;
  }
  mParts.emplace(aPart.mHash, aPart);
  return true;
}

const BundlePart* PartCache::Find(const std::string& aHash) const
{
  const auto it = mParts.find(aHash);
  return it == mParts.end() ? nullptr : &it->second;
}

std::vector<std::string> PartCache::MissingOf(const BundleHead& aHead) const
{
  std::vector<std::string> missing;
  for (const auto& it : aHead.mParts) {
    if (!mParts.contains(it.mHash)) {
      missing.push_back(it.mHash);
    }
  }
  return missing;
}

std::vector<BundlePart> PartCache::PartsOf(const BundleHead& aHead) const
{
  std::vector<BundlePart> parts;
  parts.reserve(aHead.mParts.size());
  for (const auto& it : aHead.mParts) {
    const auto* part = Find(it.mHash);
    assert(part);
    parts.push_back({ it.mName, it.mHash, part->mText });
  }
  return parts;
}

void PartCache::Retain(const std::vector<const BundleHead*>& aHeads)
{
  std::set<std::string> kept;
  for (const auto* head : aHeads) {
    for (const auto& it : head->mParts) {
      kept.insert(it.mHash);
    }
  }
  std::erase_if(mParts, [&](const auto& aEntry) { return !kept.contains(aEntry.first); });
}

} // namespace skylarkchute
