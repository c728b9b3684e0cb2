#include "RelayConfig.h"

#include <algorithm>
#include <cctype>

namespace skylarkchute {

namespace {

std::string NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return host;
}

} // namespace

RouteClass RelayRoute::Class() const
{
  auto hash = StableHash(std::to_string(static_cast<int>(mKind)) + '/' + std::to_string(mPriority) +
                         '/' + std::to_string(mTargetLatency.count()));
  for (const auto& it : mSizes) {
    hash = StableHash(it.Value(), hash);
  }
  return RouteClass{ static_cast<std::uint32_t>(hash) | 1U };
}

ConfigIndex::ConfigIndex(RelayConfig aConfig) : mConfig(std::move(aConfig))
{
  for (const auto& it : mConfig.mRoutes) {
    mRoutesByHost[NormalizeHost(it.mHost)].push_back(&it);
    for (const auto& target : it.mTargets) {
      mPriorities[target.mService.Value()].insert(it.mPriority);
    }
  }
  for (auto& [host, routes] : mRoutesByHost) {
    std::stable_sort(routes.begin(), routes.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mPathPrefix.size() > aRight->mPathPrefix.size();
    });
  }
  for (const auto& it : mConfig.mTeams) {
    for (const auto& key : it.mKeys) {
      mTeamsByKey.emplace(key, &it);
    }
  }
  for (const auto& it : mConfig.mServices) {
    mServices.emplace(it.mName.Value(), &it);
  }
}

const RelayRoute* ConfigIndex::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mRoutesByHost.find(NormalizeHost(aHost));
  if (host == mRoutesByHost.end()) {
    return nullptr;
  }
  const auto& routes = host->second;
  const auto found = std::find_if(routes.begin(), routes.end(), [aPath](const auto* aRoute) {
    return aPath.substr(0, aRoute->mPathPrefix.size()) == aRoute->mPathPrefix;
  });
  return found == routes.end() ? nullptr : *found;
}

const RelayTeam* ConfigIndex::FindTeam(const std::string& aKey) const
{
  const auto found = mTeamsByKey.find(aKey);
  return found == mTeamsByKey.end() ? nullptr : found->second;
}

std::size_t ConfigIndex::RankOf(const ServiceName& aService, std::uint32_t aPriority) const
{
  const auto found = mPriorities.find(aService.Value());
  if (found == mPriorities.end()) {
    return 0;
  }
  const auto& priorities = found->second;
  return static_cast<std::size_t>(
    std::distance(priorities.begin(), priorities.lower_bound(aPriority)));
}

const RelayService* ConfigIndex::FindService(const ServiceName& aService) const
{
  const auto found = mServices.find(aService.Value());
  return found == mServices.end() ? nullptr : found->second;
}

} // namespace skylarkchute
