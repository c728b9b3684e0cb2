#include "BundleFollower.h"

#include "../events/BundleEvents.h"
#include "../lifecycle/ObjectKeys.h"

#include <algorithm>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

/** Delay before a newer generation is requested from the peer that reported it, so that the store
    watch can deliver it first. Not applied while the watch fails. */
constexpr std::chrono::milliseconds kPeerHeadRequestDelay{ 300 };
/** Minimum time between rounds of head requests to peers; up to as much random time is added. */
constexpr std::chrono::milliseconds kHeadRequestInterval{ 500 };
/** Maximum number of pending head requests; beyond it, the answer to the oldest one is ignored. */
constexpr std::size_t kMaxHeadRequests = 64;

WatchOptions WatchOptionsOf(const FollowerOptions& aOptions)
{
  WatchOptions options;
  options.mPrefix = kHeadKey;
  options.mPurpose = CallPurpose::Bundle;
  options.mSeed = aOptions.mSeed;
  options.mWait = aOptions.mMaxWatchWait;
  options.mRearmJitter = aOptions.mRearmJitter;
  options.mMinRetryDelay = aOptions.mMinRetryDelay;
  options.mMaxRetryDelay = aOptions.mMaxRetryDelay;
  options.mCallTimeout = aOptions.mCallTimeout;
  return options;
}

} // namespace

BundleFollower::BundleFollower(const FollowerOptions& aOptions)
  : mOptions(aOptions)
  , mDelay(aOptions.mMinRetryDelay, aOptions.mMaxRetryDelay, aOptions.mSeed + 2)
  , mWatch(WatchOptionsOf(aOptions))
  , mConfirmation(aOptions)
  , mFetcher(aOptions, mCache)
{
}

FollowerOutput BundleFollower::Start(TimePoint aNow)
{
  return Tick(aNow);
}

void BundleFollower::ApplyFleet(const std::vector<FleetMember>& aFleet)
{
  mConfirmation.ApplyFleet(aFleet);
  mFetcher.ApplyFleet(aFleet);
  mPeers.clear();
  for (const auto& it : aFleet) {
    if (it.mId != mOptions.mSelf) {
      mPeers.push_back(it.mId);
    }
  }
}

FollowerOutput BundleFollower::Tick(TimePoint aNow)
{
  BeginInput(aNow);
  return FinishInput(aNow, {});
}

void BundleFollower::BeginInput(TimePoint aNow)
{
  if (!mConfirmation.Tick(aNow)) {
    return;
  }
  // Replies to calls sent before the pause may be outdated.
  mWatch.Restart(aNow);
  mHeadRequests.clear();
  mRequestHeadAfterPause = true;
}

FollowerOutput BundleFollower::FinishInput(TimePoint aNow, FollowerOutput aOutput)
{
  PutPendingInForce(aOutput);
  auto call = mWatch.Poll(mNextId, aNow);
  if (call) {
    ++mNextId;
    aOutput.mCalls.push_back(std::move(*call));
  }
  mConfirmation.SetStoreFailing(mWatch.IsFailing());
  mFetcher.Poll(mNextId, aNow, aOutput);
  RequestPeerHeads(aNow, aOutput);
  ReportConfirmation(aNow, aOutput);
  return aOutput;
}

FollowerOutput BundleFollower::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  BeginInput(aNow);
  FollowerOutput output;
  if (mFetcher.OnReply(aReply, aNow, output)) {
    return FinishInput(aNow, std::move(output));
  }
  const auto update = mWatch.OnReply(aReply, aNow);
  if (update) {
    ProcessPrefixUpdate(*update, aNow, output);
  }
  return FinishInput(aNow, std::move(output));
}

void BundleFollower::ProcessPrefixUpdate(const PrefixUpdate& aUpdate,
                                         TimePoint aNow,
                                         FollowerOutput& aOutput)
{
  if (aUpdate.mFailed) {
    aOutput.mEvents.push_back({ &kHeadWatchFailed, {} });
    return;
  }
  const auto entry =
    std::find_if(aUpdate.mEntries.begin(), aUpdate.mEntries.end(), [](const ObjectEntry& aEntry) {
      return aEntry.mKey == kHeadKey;
    });
  const auto seen = entry != aUpdate.mEntries.end();
  if (seen && !entry->mDeleted) {
    ProcessPlatformHead(entry->mBody, aUpdate.mValidAt, aNow, aOutput);
    return;
  }
  const auto absent = seen || aUpdate.mComplete;
  if (absent && mHead) {
    ReportOlderHead(0, aOutput);
  }
  if (mHead && mNewestKnown <= mHead->mGeneration) {
    mConfirmation.Confirm(aUpdate.mValidAt);
  }
}

void BundleFollower::ProcessPlatformHead(const std::string& aBody,
                                         TimePoint aConfirmedAt,
                                         TimePoint aNow,
                                         FollowerOutput& aOutput)
{
  auto head = ReadHead(aBody);
  if (!head) {
    aOutput.mEvents.push_back({ &kHeadUnreadable, { { "source", "platform" } } });
    return;
  }
  if (head->mGeneration < CurrentGeneration()) {
    // An older head in the store implies that no newer bundle than the one in force was accepted.
    ReportOlderHead(head->mGeneration, aOutput);
    mConfirmation.Confirm(aConfirmedAt);
    return;
  }
  mOlderHeadReported = false;
  // The store is authoritative: discard a newer generation that a peer reported without its head.
  mNewestKnown = head->mGeneration;
  ProcessHead(*head, aBody, aNow, aOutput);
  ConfirmHead(*head, aConfirmedAt);
}

void BundleFollower::ConfirmHead(const BundleHead& aHead, TimePoint aConfirmedAt)
{
  const auto isSame = [&](const std::optional<BundleHead>& aOther) {
    return aOther && aOther->mGeneration == aHead.mGeneration && aOther->mBundle == aHead.mBundle;
  };
  if (isSame(mHead)) {
    mConfirmation.Confirm(aConfirmedAt);
  } else if (isSame(mPending)) {
    mPendingConfirmedAt = aConfirmedAt;
  }
}

void BundleFollower::ReportOlderHead(Generation aStoreGeneration, FollowerOutput& aOutput)
{
  if (mOlderHeadReported) {
    return;
  }
  mOlderHeadReported = true;
  aOutput.mEvents.push_back({ &kHeadBehind,
                              { { "shown", std::to_string(aStoreGeneration) },
                                { "in-force", std::to_string(CurrentGeneration()) } } });
}

void BundleFollower::ProcessHead(const BundleHead& aHead,
                                 const std::string& aJson,
                                 TimePoint aNow,
                                 FollowerOutput& aOutput)
{
  if (aHead.mGeneration == CurrentGeneration() && aHead.mBundle != mHead->mBundle) {
    aOutput.mEvents.push_back(
      { &kHeadConflict, { { "generation", std::to_string(aHead.mGeneration) } } });
    return;
  }
  const auto newest = std::max(CurrentGeneration(), mPending ? mPending->mGeneration : 0);
  if (aHead.mGeneration <= std::max(newest, mRejectedGeneration)) {
    return;
  }
  mNewestKnown = std::max(mNewestKnown, aHead.mGeneration);
  mPending = aHead;
  mPendingJson = aJson;
  mPendingConfirmedAt.reset();
  mFetcher.Begin(aHead, aNow);
  PutPendingInForce(aOutput);
}

void BundleFollower::PutPendingInForce(FollowerOutput& aOutput)
{
  if (!mPending || !mCache.MissingOf(*mPending).empty()) {
    return;
  }
  const auto head = std::move(*mPending);
  mPending.reset();
  mFetcher.Stop();
  std::string faults;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(bundle, AssembleBundle(mCache.PartsOf(head)));
      mBundle = std::make_shared<const Bundle>(std::move(bundle));
      return {};
    },
    [&](const Faults& aFaults) { faults = aFaults.Text(); },
    [&] { faults = "unknown"; });
  const auto generation = std::to_string(head.mGeneration);
  if (!faults.empty()) {
    mRejectedGeneration = head.mGeneration;
    aOutput.mEvents.push_back(
      { &kBundleRefused, { { "generation", generation }, { "faults", faults } } });
    return;
  }
  mCache.Retain(mHead ? std::vector<const BundleHead*>{ &*mHead, &head }
                      : std::vector<const BundleHead*>{ &head });
  mConfirmation.ClearPeerObservations();
  mHead = head;
  mHeadJson = std::move(mPendingJson);
  mOlderHeadReported = false;
  if (mPendingConfirmedAt) {
    mConfirmation.Confirm(*mPendingConfirmedAt);
  }
  aOutput.mBundleChanged = true;
  aOutput.mEvents.push_back(
    { &kBundleInForce, { { "generation", generation }, { "bundle", head.mBundle.Value() } } });
}

FollowerOutput BundleFollower::OnPeerHead(const PeerHead& aHead, TimePoint aNow)
{
  BeginInput(aNow);
  if (!mConfirmation.IsSettling(aNow)) {
    ProcessPeerHead(aHead, aNow, aNow);
  }
  return FinishInput(aNow, {});
}

void BundleFollower::ProcessPeerHead(const PeerHead& aHead, TimePoint aSentAt, TimePoint aNow)
{
  std::optional<TimePoint> confirmedAt;
  if (aHead.mConfirmedAge) {
    confirmedAt = aSentAt - *aHead.mConfirmedAge;
  }
  const auto agrees = mHead && aHead.mGeneration == mHead->mGeneration && confirmedAt;
  mConfirmation.RecordPeerHead(aHead.mFrom, agrees, confirmedAt, aNow);
  if (aHead.mGeneration > std::max(mNewestKnown, CurrentGeneration())) {
    mNewestKnown = aHead.mGeneration;
    mNewestKnownPeer = aHead.mFrom;
    mRequestNewestAt = aNow + kPeerHeadRequestDelay;
    return;
  }
  if (agrees) {
    mConfirmation.Confirm(*confirmedAt);
  }
}

FollowerOutput BundleFollower::OnPeerAnswer(const PeerPartsAnswer& aAnswer, TimePoint aNow)
{
  BeginInput(aNow);
  FollowerOutput output;
  mFetcher.OnAnswer(aAnswer, aNow, output);
  const auto request =
    std::find_if(mHeadRequests.begin(), mHeadRequests.end(), [&](const HeadRequest& aRequest) {
      return aRequest.mId == aAnswer.mId;
    });
  if (request == mHeadRequests.end()) {
    return FinishInput(aNow, std::move(output));
  }
  const auto sentAt = request->mSentAt;
  mHeadRequests.erase(request);
  ProcessPeerHead(aAnswer.mHead, sentAt, aNow);
  if (!aAnswer.mHeadJson.empty()) {
    auto head = ReadHead(aAnswer.mHeadJson);
    if (head) {
      ProcessHead(*head, aAnswer.mHeadJson, aNow, output);
      if (aAnswer.mHead.mConfirmedAge && aAnswer.mHead.mGeneration == head->mGeneration) {
        ConfirmHead(*head, sentAt - *aAnswer.mHead.mConfirmedAge);
      }
    } else {
      output.mEvents.push_back({ &kHeadUnreadable, { { "source", aAnswer.mHead.mFrom.Value() } } });
    }
  }
  return FinishInput(aNow, std::move(output));
}

FollowerOutput BundleFollower::OnPeerFailure(std::uint64_t aRequestId, TimePoint aNow)
{
  BeginInput(aNow);
  mFetcher.OnPeerFailure(aRequestId, aNow);
  std::erase_if(mHeadRequests,
                [&](const HeadRequest& aRequest) { return aRequest.mId == aRequestId; });
  return FinishInput(aNow, {});
}

void BundleFollower::RequestPeerHeads(TimePoint aNow, FollowerOutput& aOutput)
{
  if (aNow < mNextHeadRequestAt) {
    return;
  }
  std::vector<InstanceId> targets;
  const auto newerNotFetched =
    mNewestKnown >
    std::max({ CurrentGeneration(), mRejectedGeneration, mPending ? mPending->mGeneration : 0 });
  if (newerNotFetched && mNewestKnownPeer && (mWatch.IsFailing() || aNow >= mRequestNewestAt)) {
    targets.push_back(*mNewestKnownPeer);
  }
  const auto startsInOutage = !mHead && !mPending && mWatch.IsFailing();
  if (startsInOutage || mRequestHeadAfterPause) {
    const auto peer = RandomPeer();
    if (peer) {
      targets.push_back(*peer);
    }
    mRequestHeadAfterPause = false;
  }
  if (targets.empty() && mHead) {
    targets = mConfirmation.PeersToAsk(mNextId, aNow);
  }
  if (targets.empty()) {
    return;
  }
  mNextHeadRequestAt = aNow + kHeadRequestInterval + mDelay.Uniform(kHeadRequestInterval);
  for (const auto& it : targets) {
    RequestPeerHead(it, aNow, aOutput);
  }
}

void BundleFollower::RequestPeerHead(const InstanceId& aPeer,
                                     TimePoint aNow,
                                     FollowerOutput& aOutput)
{
  if (mHeadRequests.size() >= kMaxHeadRequests) {
    mHeadRequests.erase(mHeadRequests.begin());
  }
  mHeadRequests.push_back({ mNextId, aNow });
  aOutput.mPeerRequests.push_back({ mNextId, aPeer, CurrentGeneration(), {} });
  ++mNextId;
}

std::optional<InstanceId> BundleFollower::RandomPeer()
{
  if (mPeers.empty()) {
    return std::nullopt;
  }
  const auto most = std::chrono::milliseconds(mPeers.size() - 1);
  return mPeers[static_cast<std::size_t>(mDelay.Uniform(most).count())];
}

void BundleFollower::ReportConfirmation(TimePoint aNow, FollowerOutput& aOutput)
{
  if (!mHead) {
    return;
  }
  const auto needed = NeedsConfirmation(aNow);
  if (needed == mReportedConfirmationNeeded) {
    return;
  }
  mReportedConfirmationNeeded = needed;
  aOutput.mEvents.push_back({ needed ? &kConfirmationNeeded : &kConfirmed,
                              { { "generation", std::to_string(CurrentGeneration()) } } });
}

PeerPartsAnswer BundleFollower::Serve(const PeerPartsRequest& aRequest, TimePoint aNow) const
{
  PeerPartsAnswer answer;
  answer.mId = aRequest.mId;
  answer.mHead = LocalHead(aNow);
  if (CurrentGeneration() > aRequest.mKnownGeneration) {
    answer.mHeadJson = mHeadJson;
  }
  for (const auto& it : aRequest.mHashes) {
    const auto* part = mCache.Find(it);
    if (part) {
      answer.mParts.push_back(*part);
    }
  }
  return answer;
}

PeerHead BundleFollower::LocalHead(TimePoint aNow) const
{
  return { mOptions.mSelf, CurrentGeneration(), ConfirmedAge(aNow) };
}

bool BundleFollower::NeedsConfirmation(TimePoint aNow) const
{
  if (!mHead) {
    return true;
  }
  return mConfirmation.IsNeeded(mNewestKnown > mHead->mGeneration, aNow);
}

std::optional<std::chrono::milliseconds> BundleFollower::ConfirmedAge(TimePoint aNow) const
{
  return mHead ? mConfirmation.ConfirmedAge(aNow) : std::nullopt;
}

} // namespace skylarkchute
