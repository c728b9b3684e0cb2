#include "LoadViewMonitor.h"

#include "../events/RelayEvents.h"

namespace skylarkchute {

namespace {

/** The view of a service is stale when fewer than kStaleShare of its endpoints were heard from
    lately, directly or through other instances, until kCurrentShare of them are. */
constexpr double kStaleShare = 0.5;
constexpr double kCurrentShare = 0.75;

} // namespace

void LoadViewMonitor::Check(FleetRouter& aRouter, EventLog& aLog, TimePoint aNow)
{
  const auto config = aRouter.Config();
  if (config == nullptr || aNow - mCheckedAt < kInterval) {
    return;
  }
  mCheckedAt = aNow;
  for (const auto& it : config->Config().mServices) {
    const bool isUsed = aRouter.UsesFleetLoad(it.mName);
    if (!isUsed && mStates.find(it.mName) == mStates.end()) {
      continue;
    }
    const auto [found, isNew] = mStates.try_emplace(it.mName);
    auto& state = found->second;
    if (state.mIsUsed != isUsed) {
      state = { isUsed, false };
      aLog.Write({ &kFleetLoadUsed,
                   { { "service", it.mName.Value() }, { "used", isUsed ? "yes" : "no" } } });
      // Reports have to arrive before the view can be judged.
      continue;
    }
    const double share = aRouter.Endpoints().ViewShare(it.mName, aNow);
    const bool isStale = isUsed && share < (state.mIsStale ? kCurrentShare : kStaleShare);
    if (state.mIsStale != isStale) {
      state.mIsStale = isStale;
      aLog.Write({ isStale ? &kLoadViewStale : &kLoadViewCurrent,
                   { { "service", it.mName.Value() }, { "share", WriteNumber(share) } } });
    }
  }
}

void LoadViewMonitor::SetMetrics(FleetRouter& aRouter, MetricsRegistry& aMetrics, TimePoint aNow)
{
  const auto& config = aRouter.Config();
  if (config == nullptr) {
    return;
  }
  for (const auto& it : config->Config().mServices) {
    if (aRouter.UsesFleetLoad(it.mName)) {
      const auto labels = "service=\"" + it.mName.Value() + "\"";
      const auto& endpoints = aRouter.Endpoints();
      aMetrics.Set("skylarkchute_load_view_age_seconds",
                   labels,
                   std::chrono::duration<double>(endpoints.ViewAge(it.mName, aNow)).count());
      aMetrics.Set("skylarkchute_load_view_share", labels, endpoints.ViewShare(it.mName, aNow));
    }
  }
}

} // namespace skylarkchute
