#pragma once

#include "../store/StoreMirror.h"

#include <json/json.h>
#include <skylarkchute_routing/fleet/Fleet.h>

#include <set>

namespace skylarkchute {

/** What a report on one relay is drawn from. */
struct RelayStatusSource
{
  const InstanceEntry& mSelf;
  FleetRouter& mRouter;
  const StoreMirror& mMirror;
  const std::set<ObjectKind>& mFailedKinds; /**< Kinds that the store does not serve now. */
  std::vector<InstanceId> mPeers;           /**< Live instances, without this one. */
  bool mIsReady = false;
  bool mIsLeaving = false;
};

/** Returns the state of a relay as the document of its `/status`: the configuration in force and
    how long it has been, what the store serves, live instances, endpoints by state, use of the
    retry bound and rollouts. */
Json::Value RelayStatusDocument(const RelayStatusSource& aSource, TimePoint aNow);

} // namespace skylarkchute
