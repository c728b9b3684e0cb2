#include "RelayRuntime.h"

#include "../events/RelayEvents.h"

namespace skylarkchute {

namespace {

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

void RelayRuntime::FillExchange(PeerExchange& aExchange,
                                const KnownKinds* aKnown,
                                std::size_t aMaxBytes)
{
  const auto now = Now();
  aExchange.mConfirmationAge = mFollowing.ConfirmationAge(now);
  mMirrorExchange.Fill(aExchange, aKnown, aMaxBytes);
  mConfigExchange.Fill(aExchange, aKnown, aMaxBytes);
  mDepartureExchange.Fill(aExchange, aKnown, aMaxBytes, now);
  mLoadExchange.Fill(aExchange, aKnown, now);
  aExchange.mForwardAddress = mSettings.mForwardAddress;
  aExchange.mIsPartitioned = mRouter.Forwarding().IsPartitioned();
  aExchange.mEvidence = mRouter.Rollouts().Evidence(now);
  aExchange.mCrashes = mRouter.Suspects().Recent(now);
  aExchange.mPartReport = mRouter.PartSuspects().Recent(now);
}

bool RelayRuntime::IsBehind(const KnownKinds& aKinds) const
{
  return mMirrorExchange.IsBehind(aKinds) || mConfigExchange.IsBehind(aKinds);
}

/** Tells other instances of the objects if they have changed since the last time. */
void RelayRuntime::SpreadChanges(ChangeSpread::Source aSource)
{
  LogNewEra();
  if (mMirrorExchange.TakeChanged()) {
    mMesh.SpreadChange(aSource);
  }
}

void RelayRuntime::OnExchange(const PeerExchange& aExchange)
{
  const auto now = Now();
  if (const auto found = aExchange.mKinds.find(ObjectKind::Config);
      found != aExchange.mKinds.end()) {
    mConfigLag.OnNamed(found->second.mInForce, aExchange.mMembership.mFrom.mRecord.mName, now);
  }
  mMirrorExchange.Apply(aExchange, OriginOfList(), now);
  mConfigExchange.Apply(aExchange);
  mConfigLag.OnInForce(mSync.ConfigVersion());
  mLoadExchange.Apply(aExchange, now);
  for (const auto& it : mDepartureExchange.Apply(aExchange, now)) {
    mLog.Write(
      { &kEndpointLeaving,
        { { "endpoint", it.Value() }, { "from", aExchange.mMembership.mFrom.mRecord.mName } } });
  }
  mFollowing.OnMessage(now);
  if (aExchange.mConfirmationAge) {
    mFollowing.OnServed(*aExchange.mConfirmationAge, now);
    // What is confirmed are the sender's objects, which do not come with every message.
    if (!mMirrorExchange.IsBehind(aExchange.mKinds)) {
      mFollowing.OnConfirmation(*aExchange.mConfirmationAge, now);
    }
  }
  mRouter.Forwarding().OnPeer(aExchange.mMembership.mFrom.mRecord.mName,
                              aExchange.mForwardAddress,
                              aExchange.mIsPartitioned,
                              ZoneName(aExchange.mMembership.mFrom.mRecord.mZone));
  SpreadChanges(ChangeSpread::Source::Instance);
  StopHoldingIfStateKnown();
  for (const auto& it : aExchange.mEvidence) {
    if (mRouter.Rollouts().OnEvidence(it, now)) {
      mLog.Write({ &kRolloutStopped,
                   { { "service", it.mService.Value() },
                     { "target", it.mTarget },
                     { "from", aExchange.mMembership.mFrom.mRecord.mName } } });
    }
  }
  for (const auto& it : aExchange.mCrashes) {
    mRouter.Suspects().OnCrash(it, now);
  }
  mRouter.PartSuspects().OnReport(aExchange.mPartReport, now);
  LogRefusedParts();
}

void RelayRuntime::OnPeerChanged(const MemberChange& aChange)
{
  mLog.Write({ aChange.mIsLive ? &kPeerRegained : &kPeerLost, { { "peer", aChange.mName } } });
}

} // namespace skylarkchute
