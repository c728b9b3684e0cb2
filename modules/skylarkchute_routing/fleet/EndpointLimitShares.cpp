#include "EndpointLimitShares.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Time between two trials of the whole fleet at one endpoint. */
constexpr std::chrono::milliseconds kFleetTrialInterval{ 1500 };

/** Least time between two trials of one instance. */
constexpr std::chrono::milliseconds kMinTrialInterval{ 10000 };

} // namespace

void EndpointLimitShares::SetInstances(InstanceId aSelf, const std::vector<InstanceId>& aOthers)
{
  auto instances = aOthers;
  instances.push_back(aSelf);
  if (aSelf == mSelf && instances == mInstances) {
    return;
  }
  mSelf = std::move(aSelf);
  mInstances = std::move(instances);
  mRanks.clear();
}

/** Returns this instance's place in the order of the instances for a service. */
std::size_t EndpointLimitShares::RankFor(const ServiceName& aService)
{
  const auto [found, isNew] = mRanks.try_emplace(aService, 0);
  if (isNew) {
    const auto order = RendezvousOrder(aService.Value(), mInstances, mInstances.size());
    found->second =
      static_cast<std::size_t>(std::find(order.begin(), order.end(), mSelf) - order.begin());
  }
  return found->second;
}

EndpointLimitShare EndpointLimitShares::ShareOf(const ServiceName& aService,
                                                std::size_t aPosition,
                                                std::size_t aCount,
                                                double aLimit)
{
  if (mInstances.empty()) {
    return { 1, kMinTrialInterval, kMinTrialInterval };
  }
  const auto instances = mInstances.size();
  const auto users =
    std::min(instances, 1 + static_cast<std::size_t>(std::min(aLimit, 1.0 * instances)));
  const auto first = aPosition * instances / aCount;
  const auto place = (RankFor(aService) + instances - first) % instances;
  const auto interval =
    std::max(kMinTrialInterval, kFleetTrialInterval * static_cast<int>(instances));
  return { place < users ? 1.0 / static_cast<double>(users) : 0.0,
           interval,
           interval + interval * static_cast<int>(place) / static_cast<int>(instances) };
}

} // namespace skylarkchute
