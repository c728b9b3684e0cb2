#pragma once

#include "../requests/RouterOptions.h"
#include "../requests/RouterStep.h"
#include "ClassTable.h"
#include "EndpointTable.h"
#include "PoolTable.h"
#include "RequestTable.h"
#include "RouterCounters.h"
#include "RouterReports.h"
#include "SuspectTable.h"
#include "TeamTable.h"
#include "VersionTable.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>

#include <memory>

namespace skylarkchute {

/** All tables of a router. They are shared by its systems, which keep no state elsewhere. */
struct RouterTables
{
  explicit RouterTables(RouterOptions aOptions)
    : mOptions(std::move(aOptions))
    , mBundle(std::make_shared<Bundle>())
    , mRandom(mOptions.mSeed)
  {
  }

  /** Returns a uniform random number in [0, 1). */
  double Draw() { return boost::random::uniform_01<double>()(mRandom); }

  RouterOptions mOptions;
  std::shared_ptr<const Bundle> mBundle; /**< Never null. */
  RequestTable mRequests;
  EndpointTable mEndpoints;
  PoolTable mPools;
  VersionTable mVersions;
  TeamTable mTeams;
  ClassTable mClasses;
  SuspectTable mSuspects;
  /** Set when versions or quarantined fingerprints have changed; the queued requests must then be
      checked before any is dispatched. */
  bool mWaitingChanged = false;
  RouterReports mReports;
  RouterCounters mCounters;
  boost::random::mt19937_64 mRandom;
};

} // namespace skylarkchute
