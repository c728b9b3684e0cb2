#include "BundleSystem.h"

#include "../peers/PeerMethods.h"
#include "FleetSystem.h"
#include "RequestSystem.h"
#include "RollSystem.h"

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

constexpr std::chrono::milliseconds kBundlePartsTimeout{ 1000 };

} // namespace

BundleSystem::BundleSystem(NodeParts& aParts,
                           RequestSystem& aRequests,
                           RollSystem& aRolls,
                           FleetSystem& aFleet)
  : mParts(aParts)
  , mRequests(aRequests)
  , mRolls(aRolls)
  , mFleet(aFleet)
{
}

void BundleSystem::ApplyOutput(const FollowerOutput& aOutput, EventContext& aContext)
{
  aContext.AddEvents(aOutput.mEvents);
  aContext.AddCalls(CallingComponent::Follower, aOutput.mCalls);
  for (const auto& it : aOutput.mPeerRequests) {
    aContext.AddPeerCall({ PeerPurpose::BundleParts, it.mId, {} },
                         it.mTo,
                         kBundlePartsMethod,
                         WritePartsRequest(it),
                         kBundlePartsTimeout);
  }
  if (!aOutput.mBundleChanged) {
    return;
  }
  mRequests.ApplySteps(mParts.mRouter.ApplyBundle(mParts.mFollower.Current(), aContext.Now()),
                       aContext);
  mRolls.ApplyBundle(aContext);
  mFleet.ApplyBundle();
}

void BundleSystem::PeerReplied(std::uint64_t aLocalId,
                               const std::optional<std::string>& aMessage,
                               EventContext& aContext)
{
  const auto answer = leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<PeerPartsAnswer>> {
      if (!aMessage) {
        return std::optional<PeerPartsAnswer>();
      }
      BOOST_LEAF_AUTO(read, ReadPartsAnswer(*aMessage));
      return std::optional<PeerPartsAnswer>(std::move(read));
    },
    [] { return std::optional<PeerPartsAnswer>(); });
  if (answer && answer->mId == aLocalId) {
    ApplyOutput(mParts.mFollower.OnPeerAnswer(*answer, aContext.Now()), aContext);
  } else {
    ApplyOutput(mParts.mFollower.OnPeerFailure(aLocalId, aContext.Now()), aContext);
  }
}

std::optional<std::string> BundleSystem::AnswerPartsRequest(const std::string& aMessage,
                                                            const EventContext& aContext) const
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<std::string>> {
      BOOST_LEAF_AUTO(request, ReadPartsRequest(aMessage));
      return std::optional<std::string>(
        WritePartsAnswer(mParts.mFollower.Serve(request, aContext.Now())));
    },
    [] { return std::optional<std::string>(); });
}

} // namespace skylarkchute
