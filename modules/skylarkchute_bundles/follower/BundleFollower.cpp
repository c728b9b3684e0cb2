#include "BundleFollower.h"

#include "../events/BundleEvents.h"
#include "../lifecycle/ObjectKeys.h"

#include <algorithm>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

/** Time that the watch has to show a generation that a peer told of, before the peer is asked. */
constexpr std::chrono::milliseconds kWatchAdvantage{ 300 };
/** Least time between two rounds of asking peers for their heads. */
constexpr std::chrono::milliseconds kAskInterval{ 500 };
constexpr std::size_t kMostHeadRequests = 64;

WatchOptions WatchOptionsOf(const FollowerOptions& aOptions)
{
  WatchOptions options;
  options.mPrefix = kHeadKey;
  options.mPurpose = CallPurpose::Bundle;
  options.mSeed = aOptions.mSeed;
  options.mWait = aOptions.mWatchWait;
  options.mRearmJitter = aOptions.mRearmJitter;
  options.mRetryLeast = aOptions.mRetryLeast;
  options.mRetryMost = aOptions.mRetryMost;
  options.mCallTimeout = aOptions.mCallTimeout;
  return options;
}

} // namespace

BundleFollower::BundleFollower(const FollowerOptions& aOptions)
  : mOptions(aOptions)
  , mDelay(aOptions.mRetryLeast, aOptions.mRetryMost, aOptions.mSeed + 2)
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
  Enter(aNow);
  return Leave(aNow, {});
}

void BundleFollower::Enter(TimePoint aNow)
{
  if (!mConfirmation.Tick(aNow)) {
    return;
  }
  // Answers to calls from before the pause may be outdated.
  mWatch.Restart(aNow);
  mHeadRequests.clear();
  mAskAfterPause = true;
}

FollowerOutput BundleFollower::Leave(TimePoint aNow, FollowerOutput aOutput)
{
  PutPendingInForce(aOutput);
  auto call = mWatch.Poll(mNextId, aNow);
  if (call) {
    ++mNextId;
    aOutput.mCalls.push_back(std::move(*call));
  }
  mConfirmation.SetStoreFailing(mWatch.IsFailing());
  mFetcher.Poll(mNextId, aNow, aOutput);
  AskForHeads(aNow, aOutput);
  ReportConfirmation(aNow, aOutput);
  return aOutput;
}

FollowerOutput BundleFollower::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  Enter(aNow);
  FollowerOutput output;
  if (mFetcher.OnReply(aReply, aNow, output)) {
    return Leave(aNow, std::move(output));
  }
  const auto sighting = mWatch.OnReply(aReply, aNow);
  if (sighting) {
    TakeSighting(*sighting, aNow, output);
  }
  return Leave(aNow, std::move(output));
}

void BundleFollower::TakeSighting(const PrefixSighting& aSighting,
                                  TimePoint aNow,
                                  FollowerOutput& aOutput)
{
  if (aSighting.mFailed) {
    aOutput.mEvents.push_back({ &kHeadWatchFailed, {} });
    return;
  }
  const auto entry =
    std::find_if(aSighting.mEntries.begin(),
                 aSighting.mEntries.end(),
                 [](const ObjectEntry& aEntry) { return aEntry.mKey == kHeadKey; });
  const auto seen = entry != aSighting.mEntries.end();
  if (seen && !entry->mDeleted) {
    TakePlatformHead(entry->mBody, aSighting.mHoldsAt, aNow, aOutput);
    return;
  }
  const auto absent = seen || aSighting.mComplete;
  if (absent && mHead) {
    NoteHeadBehind(0, aOutput);
  }
  if (mHead && mKnownNewest <= mHead->mGeneration) {
    mConfirmation.Confirm(aSighting.mHoldsAt);
  }
}

void BundleFollower::TakePlatformHead(const std::string& aBody,
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
    // An older head also says that nothing newer than the bundle in force was accepted.
    NoteHeadBehind(head->mGeneration, aOutput);
    mConfirmation.Confirm(aConfirmedAt);
    return;
  }
  mHeadBehind = false;
  // The store's word ends a claim that no instance backs with a head.
  mKnownNewest = head->mGeneration;
  TakeHead(*head, aBody, aNow, aOutput);
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

void BundleFollower::NoteHeadBehind(Generation aShown, FollowerOutput& aOutput)
{
  if (mHeadBehind) {
    return;
  }
  mHeadBehind = true;
  aOutput.mEvents.push_back({ &kHeadBehind,
                              { { "shown", std::to_string(aShown) },
                                { "in-force", std::to_string(CurrentGeneration()) } } });
}

void BundleFollower::TakeHead(const BundleHead& aHead,
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
  if (aHead.mGeneration <= std::max(newest, mRefused)) {
    return;
  }
  mKnownNewest = std::max(mKnownNewest, aHead.mGeneration);
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
    mRefused = head.mGeneration;
    aOutput.mEvents.push_back(
      { &kBundleRefused, { { "generation", generation }, { "faults", faults } } });
    return;
  }
  mCache.Retain(mHead ? std::vector<const BundleHead*>{ &*mHead, &head }
                      : std::vector<const BundleHead*>{ &head });
  mConfirmation.ForgetWitnesses();
  mHead = head;
  mHeadJson = std::move(mPendingJson);
  mHeadBehind = false;
  if (mPendingConfirmedAt) {
    mConfirmation.Confirm(*mPendingConfirmedAt);
  }
  aOutput.mBundleChanged = true;
  aOutput.mEvents.push_back(
    { &kBundleInForce, { { "generation", generation }, { "bundle", head.mBundle.Value() } } });
}

FollowerOutput BundleFollower::OnPeerHead(const PeerHead& aHead, TimePoint aNow)
{
  Enter(aNow);
  if (!mConfirmation.IsSettling(aNow)) {
    TakePeerHead(aHead, aNow, aNow);
  }
  return Leave(aNow, {});
}

void BundleFollower::TakePeerHead(const PeerHead& aHead, TimePoint aSentAt, TimePoint aNow)
{
  std::optional<TimePoint> confirmedAt;
  if (aHead.mConfirmedAge) {
    confirmedAt = aSentAt - *aHead.mConfirmedAge;
  }
  const auto isWitness = mHead && aHead.mGeneration == mHead->mGeneration && confirmedAt;
  mConfirmation.Hear(aHead.mFrom, isWitness, confirmedAt, aNow);
  if (aHead.mGeneration > std::max(mKnownNewest, CurrentGeneration())) {
    mKnownNewest = aHead.mGeneration;
    mNewestFrom = aHead.mFrom;
    mAskNewestAt = aNow + kWatchAdvantage;
    return;
  }
  if (isWitness) {
    mConfirmation.Confirm(*confirmedAt);
  }
}

FollowerOutput BundleFollower::OnPeerCopy(const PeerPartsAnswer& aAnswer, TimePoint aNow)
{
  Enter(aNow);
  FollowerOutput output;
  mFetcher.OnAnswer(aAnswer, aNow, output);
  const auto request =
    std::find_if(mHeadRequests.begin(), mHeadRequests.end(), [&](const HeadRequest& aRequest) {
      return aRequest.mId == aAnswer.mId;
    });
  if (request == mHeadRequests.end()) {
    return Leave(aNow, std::move(output));
  }
  const auto sentAt = request->mSentAt;
  mHeadRequests.erase(request);
  TakePeerHead(aAnswer.mHead, sentAt, aNow);
  if (!aAnswer.mHeadJson.empty()) {
    auto head = ReadHead(aAnswer.mHeadJson);
    if (head) {
      TakeHead(*head, aAnswer.mHeadJson, aNow, output);
      if (aAnswer.mHead.mConfirmedAge && aAnswer.mHead.mGeneration == head->mGeneration) {
        ConfirmHead(*head, sentAt - *aAnswer.mHead.mConfirmedAge);
      }
    } else {
      output.mEvents.push_back({ &kHeadUnreadable, { { "source", aAnswer.mHead.mFrom.Value() } } });
    }
  }
  return Leave(aNow, std::move(output));
}

FollowerOutput BundleFollower::OnPeerFailure(std::uint64_t aRequestId, TimePoint aNow)
{
  Enter(aNow);
  mFetcher.OnPeerFailure(aRequestId, aNow);
  std::erase_if(mHeadRequests,
                [&](const HeadRequest& aRequest) { return aRequest.mId == aRequestId; });
  return Leave(aNow, {});
}

void BundleFollower::AskForHeads(TimePoint aNow, FollowerOutput& aOutput)
{
  if (aNow < mNextAskAt) {
    return;
  }
  std::vector<InstanceId> targets;
  const auto newerUnseen =
    mKnownNewest >
    std::max({ CurrentGeneration(), mRefused, mPending ? mPending->mGeneration : 0 });
  if (newerUnseen && mNewestFrom && (mWatch.IsFailing() || aNow >= mAskNewestAt)) {
    targets.push_back(*mNewestFrom);
  }
  const auto startsInOutage = !mHead && !mPending && mWatch.IsFailing();
  if (startsInOutage || mAskAfterPause) {
    const auto peer = RandomPeer();
    if (peer) {
      targets.push_back(*peer);
    }
    mAskAfterPause = false;
  }
  if (targets.empty() && mHead) {
    targets = mConfirmation.PeersToAsk(mNextId, aNow);
  }
  if (targets.empty()) {
    return;
  }
  mNextAskAt = aNow + kAskInterval + mDelay.Uniform(kAskInterval);
  for (const auto& it : targets) {
    AskForHead(it, aNow, aOutput);
  }
}

void BundleFollower::AskForHead(const InstanceId& aPeer, TimePoint aNow, FollowerOutput& aOutput)
{
  if (mHeadRequests.size() >= kMostHeadRequests) {
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
  if (needed == mReportedNeed) {
    return;
  }
  mReportedNeed = needed;
  aOutput.mEvents.push_back({ needed ? &kConfirmationNeeded : &kConfirmed,
                              { { "generation", std::to_string(CurrentGeneration()) } } });
}

PeerPartsAnswer BundleFollower::Serve(const PeerPartsRequest& aRequest, TimePoint aNow) const
{
  PeerPartsAnswer answer;
  answer.mId = aRequest.mId;
  answer.mHead = OwnHead(aNow);
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

PeerHead BundleFollower::OwnHead(TimePoint aNow) const
{
  return { mOptions.mSelf, CurrentGeneration(), ConfirmedAge(aNow) };
}

bool BundleFollower::NeedsConfirmation(TimePoint aNow) const
{
  if (!mHead) {
    return true;
  }
  return mConfirmation.IsNeeded(mKnownNewest > mHead->mGeneration, aNow);
}

std::optional<std::chrono::milliseconds> BundleFollower::ConfirmedAge(TimePoint aNow) const
{
  return mHead ? mConfirmation.ConfirmedAge(aNow) : std::nullopt;
}

} // namespace skylarkchute
