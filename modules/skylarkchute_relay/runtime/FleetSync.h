#pragma once

#include "../endpoints/EndpointPool.h"
#include "../peers/PeerMesh.h"
#include "../store/StoreMirror.h"

namespace skylarkchute {

/** Decodes what the mirror learns and gives it to the router, the pool and the mesh. */
class FleetSync
{
public:
  FleetSync(FleetRouter& aRouter, EndpointPool& aPool, const EventLog& aLog);

  /** Sets the mesh that learns of instances. */
  void SetMesh(PeerMesh* aMesh) { mMesh = aMesh; }

  /** Takes in one object that changed or was removed. */
  void OnObject(ObjectKind aKind, const StoreObject& aObject);

  /** Notes whether the store serves this instance. What is missing in its first answer after an
      outage may have lapsed without a reason; what is removed later has left. */
  void SetStoreServes(bool aServes) { mStoreServes = aServes; }

private:
  void OnConfig(const StoreObject& aObject);
  void OnEndpoint(const StoreObject& aObject);
  void OnRollout(const StoreObject& aObject);
  void OnInstance(const StoreObject& aObject);
  void Ignore(ObjectKind aKind, const StoreObject& aObject);

  FleetRouter& mRouter;
  EndpointPool& mPool;
  const EventLog& mLog;
  PeerMesh* mMesh = nullptr;
  bool mStoreServes = true;
};

} // namespace skylarkchute
