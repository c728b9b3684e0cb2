#include "Placement.h"

#include <xxhash.h>

#include <algorithm>

namespace skylarkchute {

namespace {

struct ScoredMember
{
  std::uint64_t mScore;
  const InstanceId* mMember;
};

} // namespace

std::uint64_t StableHash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

std::vector<InstanceId> RendezvousOrder(std::string_view aKey,
                                        const std::vector<InstanceId>& aMembers,
                                        std::size_t aCount)
{
  const auto keyHash = StableHash(aKey);
  std::vector<ScoredMember> scored;
  scored.reserve(aMembers.size());
  for (const auto& it : aMembers) {
    scored.push_back({ StableHash(it.Value(), keyHash), &it });
  }
  const auto count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    [](const ScoredMember& aLeft, const ScoredMember& aRight) {
                      return aLeft.mScore != aRight.mScore ? aLeft.mScore > aRight.mScore
                                                           : *aLeft.mMember < *aRight.mMember;
                    });
  std::vector<InstanceId> order;
  order.reserve(count);
  for (std::size_t n = 0; n < count; ++n) {
    order.push_back(*scored[n].mMember);
  }
  return order;
}

} // namespace skylarkchute
