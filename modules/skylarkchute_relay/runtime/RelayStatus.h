#pragma once

#include "../store/StoreMirror.h"

#include <json/json.h>
#include <skylarkchute_peers/membership/GossipTypes.h>
#include <skylarkchute_routing/fleet/Fleet.h>

#include <optional>
#include <set>

namespace skylarkchute {

/** The state from which the status document of one relay is made. */
struct RelayStatusSource
{
  const MemberRecord& mSelf;
  FleetRouter& mRouter;
  const StoreMirror& mMirror;
  const std::set<ObjectKind>& mFailedKinds; /**< Kinds whose last list or watch call failed. */
  std::vector<InstanceId> mPeers{};         /**< Live instances, without this one. */
  StoreRole mStoreRole = StoreRole::None;
  std::optional<std::chrono::milliseconds> mConfirmationAge{}; /**< As in PeerExchange. */
  std::chrono::milliseconds mConfigLag{ 0 };                   /**< @see ConfigLag::Lag */
  bool mIsReady = false;
  bool mIsLeaving = false;
};

/** Sets the metrics of a service's admission: its waiting requests and what was refused. */
void SetAdmissionMetrics(MetricsRegistry& aMetrics, const ServiceAdmission::Summary& aSummary);

/** Returns the `/status` document of a relay: the version of the configuration in force and the
    time in milliseconds since the mirror's configuration changed and for which it has been behind
   that of another instance, the kinds that the store does not serve, the live instances, the
   endpoints with their states, the use of the retry bound, what waits for room and was refused by
   admission, and the rollouts. */
Json::Value RelayStatusDocument(const RelayStatusSource& aSource, TimePoint aNow);

} // namespace skylarkchute
