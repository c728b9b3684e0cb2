#include "NodeFleet.h"

#include <algorithm>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{ 20 };
constexpr milliseconds kWatchPollPeriod{ 50 };
constexpr int kNodesPerExtraEngine = 5;
constexpr const char* kApiKey = "node-test-key";

/** Overload set that dispatches node actions to the fakes. */
template<typename... Handlers>
struct ActionVisitor : Handlers...
{
  using Handlers::operator()...;
};

template<typename... Handlers>
ActionVisitor(Handlers...) -> ActionVisitor<Handlers...>;

EndpointRecord Endpoint(const std::string& aId, EndpointKind aKind, const std::string& aZone)
{
  EndpointRecord record;
  record.mId = EndpointId(aId);
  record.mAddress = "127.0.0.1";
  record.mPort = 1;
  record.mZone = ZoneName(aZone);
  record.mKind = aKind;
  if (aKind == EndpointKind::Service) {
    record.mService = ServiceName("orders");
  }
  return record;
}

} // namespace

std::string NodeBundle(const std::string& aSecondState)
{
  const std::string salt = "0011223344556677";
  return "[bundle]\ntitle = node tests\n"
         "[team dispatch]\nkeys = " +
         salt + ":" + Sha256Hex(salt + kApiKey) +
         "\nmodels = note\nservices = orders\nrequests-per-second = 5000\n"
         "tokens-per-second = 500000\nconcurrency = 1000\n"
         "[model note]\nprice-per-thousand-tokens = 1\nquality = 0.9\n"
         "[version note/1]\nstate = active\nlabel = note-1\n"
         "[version note/2]\nstate = " +
         aSecondState +
         "\nlabel = note-2\n"
         "[class chat]\npriority = 10\ntarget-latency = 2s\n"
         "[service orders]\nidempotent = false\ntimeout = 5s\n";
}

NodeFleet::NodeFleet(std::uint64_t aSeed, int aNodes, std::chrono::milliseconds aUsageAge)
  : mRandom(aSeed)
{
  const std::vector<std::string> zones{ "north", "south", "west" };
  mEndpoints = { Endpoint("engine-1", EndpointKind::Engine, "north"),
                 Endpoint("engine-2", EndpointKind::Engine, "south"),
                 Endpoint("orders-1", EndpointKind::Service, "north"),
                 Endpoint("orders-2", EndpointKind::Service, "west") };
  for (int n = 0; n < aNodes / kNodesPerExtraEngine; ++n) {
    const auto id = "engine-" + std::to_string(n + 3);
    mEndpoints.push_back(Endpoint(id, EndpointKind::Engine, zones[Index(n) % zones.size()]));
  }
  for (int n = 0; n < aNodes; ++n) {
    auto member = std::make_unique<Member>();
    member->mName = "entry-" + std::to_string(n);
    NodeOptions options;
    options.mInstance = InstanceId(member->mName);
    options.mZone = ZoneName(zones[Index(n) % zones.size()]);
    options.mIncarnation = MakeIncarnation(options.mInstance, std::to_string(aSeed));
    options.mSeed = aSeed + static_cast<std::uint64_t>(n);
    options.mSigningKeySeed = "secret" + std::to_string(aSeed) + member->mName;
    options.mUsageMaxAge = aUsageAge;
    member->mNode = std::make_unique<Node>(options);
    mNodes.push_back(std::move(member));
  }
  PutBundle(NodeBundle(), 1);
  for (int n = 0; n < aNodes; ++n) {
    Deliver(n, [](Node& aNode, NodeTime aTime) { return aNode.Start(aTime); });
  }
  PublishInstances();
  Run(milliseconds(2000));
}

void NodeFleet::Run(milliseconds aDuration)
{
  const auto end = mClock.Now() + aDuration;
  while (mClock.Now() < end) {
    const auto nextTick = mClock.Now() + kTickPeriod;
    while (!mScheduledWork.empty() && mScheduledWork.begin()->first <= nextTick) {
      const auto at = std::max(mScheduledWork.begin()->first, mClock.Now());
      auto work = std::move(mScheduledWork.begin()->second);
      mScheduledWork.erase(mScheduledWork.begin());
      mClock.Advance(at - mClock.Now());
      work();
    }
    mClock.Advance(nextTick - mClock.Now());
    for (int n = 0; n < static_cast<int>(mNodes.size()); ++n) {
      if (!IsPaused(n)) {
        Deliver(n, [](Node& aNode, NodeTime aTime) { return aNode.Tick(aTime); });
      }
    }
  }
}

void NodeFleet::PutBundle(const std::string& aText, Generation aGeneration)
{
  PutInForce(mStore, aText, aGeneration);
}

std::string NodeFleet::SendChat(int aNode, const std::string& aSession)
{
  NodeRequest request;
  request.mFacts.mClass = ClassName("chat");
  request.mFacts.mModel = ModelName("note");
  request.mSessionText = aSession;
  return SendRequest(aNode, std::move(request));
}

std::string NodeFleet::SendOrder(int aNode, const std::string& aKey)
{
  NodeRequest request;
  request.mFacts.mService = ServiceName("orders");
  request.mFacts.mKey = RequestKey(aKey);
  request.mFacts.mHasCallerKey = !aKey.empty();
  request.mFacts.mFingerprint = Fingerprint(aKey);
  return SendRequest(aNode, std::move(request));
}

std::string NodeFleet::SendRequest(int aNode, NodeRequest aRequest)
{
  auto id = "request-" + std::to_string(mNextRequest++);
  auto& facts = aRequest.mFacts;
  facts.mId = RequestId(id);
  facts.mApiKey = kApiKey;
  facts.mDeadline = mClock.Now() + kDeadline;
  if (!facts.mHasCallerKey) {
    facts.mKey = RequestKey(id);
    facts.mFingerprint = Fingerprint(id);
  }
  mSentTo[id] = aNode;
  mSessions[id] = aRequest.mSessionText;
  Deliver(aNode,
          [aRequest](Node& aTarget, NodeTime aAt) { return aTarget.OnRequest(aRequest, aAt); });
  return id;
}

void NodeFleet::Flush(int aNode)
{
  Deliver(aNode, [](Node& aTarget, NodeTime aTime) { return aTarget.Flush(aTime); });
}

void NodeFleet::Kill(int aNode)
{
  mNodes[Index(aNode)]->mAlive = false;
  mNodes[Index(aNode)]->mInbox.clear();
  RunAfter(milliseconds(3000), [this] { PublishInstances(); });
}

void NodeFleet::Pause(int aNode)
{
  mNodes[Index(aNode)]->mPaused = true;
}

void NodeFleet::Resume(int aNode)
{
  auto& member = *mNodes[Index(aNode)];
  member.mPaused = false;
  auto inbox = std::move(member.mInbox);
  member.mInbox.clear();
  for (const auto& it : inbox) {
    it();
  }
}

void NodeFleet::AnnounceStop(const std::string& aEndpoint)
{
  for (auto& it : mEndpoints) {
    it.mLeaving = it.mLeaving || it.mId.Value() == aEndpoint;
  }
  PublishInstances();
}

std::size_t NodeFleet::RunsOfKey(const std::string& aKey) const
{
  return static_cast<std::size_t>(std::count_if(
    mRuns.begin(), mRuns.end(), [&](const EndpointRun& aRun) { return aRun.mKey == aKey; }));
}

Generation NodeFleet::GenerationAt(int aNode)
{
  return NodeAt(aNode).StatusJson(Time())["generation"].asUInt64();
}

std::vector<UsageRecord> NodeFleet::StoredUsageRecords() const
{
  std::vector<UsageRecord> records;
  for (const auto& it : mStore.Keys("usage/")) {
    if (const auto batch = DecodeUsageBatch(mStore.Body(it))) {
      records.insert(records.end(), batch->mRecords.begin(), batch->mRecords.end());
    }
  }
  return records;
}

milliseconds NodeFleet::Delay(int aMin, int aMax)
{
  return milliseconds(boost::random::uniform_int_distribution<int>(aMin, aMax)(mRandom));
}

void NodeFleet::RunAfter(milliseconds aDelay, std::function<void()> aWork)
{
  mScheduledWork.emplace(mClock.Now() + aDelay, std::move(aWork));
}

void NodeFleet::Deliver(int aNode, const Event& aEvent)
{
  auto& member = *mNodes[Index(aNode)];
  if (!member.mAlive) {
    return;
  }
  if (member.mPaused) {
    member.mInbox.push_back([this, aNode, aEvent] { Deliver(aNode, aEvent); });
    return;
  }
  Handle(aNode, aEvent(*member.mNode, Time()));
}

void NodeFleet::Handle(int aNode, const NodeActions& aActions)
{
  const ActionVisitor visitor{
    [&](const CallStoreAction& aAction) { CallStore(aNode, aAction.mCall); },
    [&](const CallPeerAction& aAction) { CallPeer(aNode, aAction.mCall); },
    [&](const AnswerPeerAction& aAction) { AnswerPeer(aNode, aAction); },
    [&](const DispatchAction& aAction) { Dispatch(aNode, aAction); },
    [&](const CancelAction&) {},
    [&](const RefuseAction& aAction) {
      const auto& refusal = aAction.mRefusal;
      AddFinalAnswer(refusal.mRequest, { "refuse", refusal.mVerdict, refusal.mReason, "", Now() });
    },
    [&](const FinishAction& aAction) {
      AddFinalAnswer(aAction.mRequest,
                     { "finish", Verdict::Ran, "", aAction.mAttempt.Value(), Now() });
    },
    [&](const ReplayAction& aAction) {
      AddFinalAnswer(aAction.mRequest, { "replay", Verdict::Ran, "", "", Now() });
    },
    [&](const RateAction&) {},
    [&](const LogAction&) {},
  };
  for (const auto& it : aActions) {
    std::visit(visitor, it);
  }
}

void NodeFleet::CountTraffic(const std::string& aKind, std::size_t aBytes)
{
  auto& count = mTraffic[aKind];
  ++count.mMessages;
  count.mBytes += aBytes;
}

void NodeFleet::CallStore(int aNode, const ObjectCall& aCall)
{
  const auto* put = std::get_if<PutObject>(&aCall.mOperation);
  const auto kind = std::string(put != nullptr ? "store write " : "store read ");
  CountTraffic(kind + std::string(CallPurposeName(aCall.mPurpose)),
               put != nullptr ? put->mBody.size() : 0);
  if (const auto* watch = std::get_if<WatchObjects>(&aCall.mOperation)) {
    Watch(aNode, aCall, mClock.Now() + watch->mWait);
    return;
  }
  RunAfter(Delay(1, 5), [this, aNode, aCall] {
    const auto reply = mStore.Call(aCall);
    RunAfter(Delay(1, 5), [this, aNode, reply] {
      Deliver(aNode, [reply](Node& aTarget, NodeTime aTime) {
        return aTarget.OnObjectReply(reply, aTime);
      });
    });
  });
}

void NodeFleet::Watch(int aNode, const ObjectCall& aCall, TimePoint aUntil)
{
  const auto& watch = std::get<WatchObjects>(aCall.mOperation);
  const bool isOver =
    mStore.IsInOutage() || mStore.HasChanged(watch.mPrefix, watch.mAfter) || mClock.Now() >= aUntil;
  RunAfter(kWatchPollPeriod, [this, aNode, aCall, aUntil, isOver] {
    if (!isOver) {
      Watch(aNode, aCall, aUntil);
      return;
    }
    const auto reply = mStore.Call(aCall);
    Deliver(aNode,
            [reply](Node& aTarget, NodeTime aTime) { return aTarget.OnObjectReply(reply, aTime); });
  });
}

void NodeFleet::CallPeer(int aNode, const PeerCall& aCall)
{
  const auto token = mNextToken++;
  mPendingPeerCalls[token] = { aNode, aCall.mId, aCall.mTo, aCall.mMethod };
  CountTraffic(aCall.mMethod, aCall.mParams.size());
  int target = -1;
  for (int n = 0; n < static_cast<int>(mNodes.size()); ++n) {
    if (mNodes[Index(n)]->mName == aCall.mTo.Value() && IsAlive(n)) {
      target = n;
    }
  }
  const InstanceId from(mNodes[Index(aNode)]->mName);
  RunAfter(Delay(1, 3), [this, token, target, aCall, from] {
    if (target < 0) {
      ReplyToPeer(mPendingPeerCalls[token], Verdict::NotRun, std::nullopt);
      mPendingPeerCalls.erase(token);
      return;
    }
    Deliver(target, [token, aCall, from](Node& aTarget, NodeTime aTime) {
      return aTarget.OnPeerRequest(token, from, aCall.mMethod, aCall.mParams, aTime);
    });
  });
  RunAfter(aCall.mTimeout, [this, token] {
    const auto it = mPendingPeerCalls.find(token);
    if (it != mPendingPeerCalls.end()) {
      ReplyToPeer(it->second, Verdict::MayHaveRun, std::nullopt);
      mPendingPeerCalls.erase(it);
    }
  });
}

void NodeFleet::AnswerPeer(int /*aNode*/, const AnswerPeerAction& aAnswer)
{
  RunAfter(Delay(1, 3), [this, aAnswer] {
    const auto it = mPendingPeerCalls.find(aAnswer.mToken);
    if (it != mPendingPeerCalls.end()) {
      mTraffic[it->second.mMethod].mBytes += aAnswer.mResult.value_or("").size();
      ReplyToPeer(it->second, Verdict::Ran, aAnswer.mResult);
      mPendingPeerCalls.erase(it);
    }
  });
}

void NodeFleet::ReplyToPeer(const PendingPeerCall& aPending,
                            Verdict aVerdict,
                            std::optional<std::string> aResult)
{
  const PeerReply reply{
    aPending.mCall, aPending.mTo, aVerdict, aResult.has_value(), aResult.value_or("")
  };
  Deliver(aPending.mFrom,
          [reply](Node& aTarget, NodeTime aTime) { return aTarget.OnPeerReply(reply, aTime); });
}

void NodeFleet::Dispatch(int aNode, const DispatchAction& aDispatch)
{
  const auto step = aDispatch.mStep;
  if (mConnectionsToRefuse > 0) {
    --mConnectionsToRefuse;
    AttemptOutcome outcome;
    outcome.mEnd = AttemptEnd::ConnectFailed;
    outcome.mVerdict = Verdict::NotRun;
    RunAfter(Delay(1, 5), [this, aNode, step, outcome] { EndAttempt(aNode, step, outcome, ""); });
    return;
  }
  const auto request = step.mRequest.Value();
  mRuns.push_back({ step.mEndpoint.Value(),
                    mNodes[Index(aNode)]->mName,
                    request,
                    aDispatch.mRequestKey.Value(),
                    step.mVersion.value_or(VersionId()).Value(),
                    mSessions[request],
                    Now() });
  AttemptOutcome outcome;
  outcome.mEnd = AttemptEnd::Complete;
  outcome.mVerdict = Verdict::Ran;
  outcome.mHttpStatus = 200;
  outcome.mPromptTokens = 10;
  outcome.mCompletionTokens = 20;
  outcome.mLatency = milliseconds(20);
  if (mAttemptsToBreak > 0) {
    --mAttemptsToBreak;
    outcome = {};
  }
  RunAfter(Delay(10, 60),
           [this, aNode, step, outcome] { EndAttempt(aNode, step, outcome, "answer"); });
}

void NodeFleet::EndAttempt(int aNode,
                           const DispatchStep& aStep,
                           AttemptOutcome aOutcome,
                           std::string aBody)
{
  const AnswerContent content{ aOutcome.mHttpStatus, "application/json", std::move(aBody) };
  Deliver(aNode, [aStep, aOutcome, content](Node& aTarget, NodeTime aTime) {
    return aTarget.OnAttemptEnd(aStep.mRequest, aStep.mAttempt, aOutcome, content, aTime);
  });
}

void NodeFleet::PublishInstances()
{
  std::vector<PeerRecord> peers;
  for (const auto& it : mNodes) {
    if (it->mAlive) {
      const auto zone = it->mNode->StatusJson(Time())["zone"].asString();
      peers.push_back({ InstanceId(it->mName), "127.0.0.1", 1, ZoneName(zone), false });
    }
  }
  for (int n = 0; n < static_cast<int>(mNodes.size()); ++n) {
    Deliver(n, [this, peers](Node& aNode, NodeTime aTime) {
      return aNode.OnInstances(mEndpoints, peers, aTime);
    });
    for (const auto& it : mEndpoints) {
      const LoadReport report{ it.mId, 0, 0, 16, it.mLeaving, { "note-1", "note-2" } };
      Deliver(n, [report](Node& aNode, NodeTime aTime) { return aNode.OnLoad(report, aTime); });
    }
  }
}

void NodeFleet::AddFinalAnswer(const RequestId& aRequest, FinalAnswer aAnswer)
{
  mAnswers[aRequest.Value()].push_back(std::move(aAnswer));
}

} // namespace skylarkchute
