#include "BundleSystem.h"

#include "../peers/PeerMethods.h"
#include "RequestSystem.h"

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

constexpr std::chrono::milliseconds kPartsTimeout{ 1000 };

} // namespace

BundleSystem::BundleSystem(NodeParts& aParts, RequestSystem& aRequests)
  : mParts(aParts)
  , mRequests(aRequests)
{
}

void BundleSystem::Take(const FollowerOutput& aOutput, NodePass& aPass)
{
  aPass.AddEvents(aOutput.mEvents);
  aPass.AddCalls(StoreUser::Follower, aOutput.mCalls);
  for (const auto& it : aOutput.mPeerRequests) {
    aPass.AddPeerCall({ PeerPurpose::BundleParts, it.mId, {} },
                      it.mTo,
                      kBundlePartsMethod,
                      WritePartsRequest(it),
                      kPartsTimeout);
  }
  if (!aOutput.mBundleChanged) {
    return;
  }
  mRequests.TakeSteps(mParts.mRouter.ApplyBundle(mParts.mFollower.Current(), aPass.Now()), aPass);
}

void BundleSystem::PeerReplied(std::uint64_t aLocalId,
                               const std::optional<std::string>& aMessage,
                               NodePass& aPass)
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
    Take(mParts.mFollower.OnPeerCopy(*answer, aPass.Now()), aPass);
  } else {
    Take(mParts.mFollower.OnPeerFailure(aLocalId, aPass.Now()), aPass);
  }
}

std::optional<std::string> BundleSystem::AnswerPartsRequest(const std::string& aMessage,
                                                            const NodePass& aPass) const
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<std::string>> {
      BOOST_LEAF_AUTO(request, ReadPartsRequest(aMessage));
      return std::optional<std::string>(
        WritePartsAnswer(mParts.mFollower.Serve(request, aPass.Now())));
    },
    [] { return std::optional<std::string>(); });
}

} // namespace skylarkchute
