#pragma once

#include <support/BundleStore.h>

#include <skylarkchute_node/skylarkchute_node.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace skylarkchute {

/** One attempt that an endpoint ran. */
struct EndpointRun
{
  std::string mEndpoint;
  std::string mNode;
  std::string mRequest;
  std::string mKey;
  std::string mVersion;
  std::string mSession;
  TimePoint mAt;
};

/** Traffic of one kind: the calls of one peer method with the bytes of requests and answers, or the
    store reads or writes of one purpose with the bytes written. */
struct TrafficCount
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
};

/** The final answer of a request. */
struct FinalAnswer
{
  std::string mKind; /**< `finish`, `refuse` or `replay`. */
  Verdict mVerdict = Verdict::NotRun;
  std::string mReason;
  std::string mAttempt;
  TimePoint mAt;
};

/** Several nodes with a fake store, fake endpoints and simulated messages on one manual clock. */
class NodeFleet
{
public:
  /** @param aUsageAge  age at which a batch of usage records is written */
  explicit NodeFleet(std::uint64_t aSeed,
                     int aNodes = 3,
                     std::chrono::milliseconds aUsageAge = std::chrono::milliseconds(500));

  /** Advances the clock by a duration, delivers what is due and ticks the nodes that are not
      paused. */
  void Run(std::chrono::milliseconds aTime);

  /** Puts a bundle in force in the store. */
  void PutBundle(const std::string& aText, Generation aGeneration);

  /** Sends a model request and returns its id.
      @param aSession  session name; empty for none */
  std::string SendChat(int aNode, const std::string& aSession = "");

  /** Sends a non-idempotent order and returns its id.
      @param aKey  idempotency key; empty for none */
  std::string SendOrder(int aNode, const std::string& aKey);

  /** Makes a node write its usage records to the store, as before a stop. */
  void Flush(int aNode);

  void Kill(int aNode);
  void Pause(int aNode);
  void Resume(int aNode);
  bool IsAlive(int aNode) const { return mNodes[Index(aNode)]->mAlive; }
  bool IsPaused(int aNode) const { return mNodes[Index(aNode)]->mPaused; }

  /** Marks an endpoint as leaving in the instance list, as an announced stop does. */
  void AnnounceStop(const std::string& aEndpoint);

  /** Makes the next attempts at any endpoint break off without an answer after the endpoint ran
      them. */
  void BreakNextAttempts(int aCount) { mAttemptsToBreak = aCount; }

  /** Makes the next connections to any endpoint fail, so that the attempts do not run. */
  void RefuseNextConnections(int aCount) { mConnectionsToRefuse = aCount; }

  FakeObjectStore& Store() { return mStore; }
  Node& NodeAt(int aNode) { return *mNodes[Index(aNode)]->mNode; }
  TimePoint Now() const { return mClock.Now(); }
  NodeTime Time() const { return { mClock.Now(), mClock.WallNow() }; }

  /** Returns the attempts that endpoints ran, in order. */
  const std::vector<EndpointRun>& Runs() const { return mRuns; }

  /** Returns the final answers by request. More than one for a request is an error. */
  const std::map<std::string, std::vector<FinalAnswer>>& Answers() const { return mAnswers; }

  /** Returns how many attempts with a key were run by endpoints. */
  std::size_t RunsOfKey(const std::string& aKey) const;

  /** Returns the node that a request was sent to. */
  int NodeOf(const std::string& aRequest) const { return mSentTo.at(aRequest); }

  /** Returns the traffic of all nodes since the start, by peer method, `store read PURPOSE` or
      `store write PURPOSE`. */
  const std::map<std::string, TrafficCount>& Traffic() const { return mTraffic; }

  /** Returns the generation in force at a node. */
  Generation GenerationAt(int aNode);

  /** Returns the usage records of all batches in the store. */
  std::vector<UsageRecord> StoredUsageRecords() const;

  static constexpr std::chrono::milliseconds kDeadline{ 10'000 };

private:
  struct Member
  {
    std::unique_ptr<Node> mNode;
    std::string mName;
    bool mAlive = true;
    bool mPaused = false;
    std::vector<std::function<void()>> mInbox; /**< Events that arrived during a pause. */
  };

  struct PendingPeerCall
  {
    int mFrom = 0;
    std::uint64_t mCall = 0;
    InstanceId mTo;
    std::string mMethod;
  };

  using Event = std::function<NodeActions(Node&, NodeTime)>;

  static std::size_t Index(int aNode) { return static_cast<std::size_t>(aNode); }
  std::chrono::milliseconds Delay(int aMin, int aMax);
  void RunAfter(std::chrono::milliseconds aDelay, std::function<void()> aWork);
  void Deliver(int aNode, const Event& aEvent);
  void Handle(int aNode, const NodeActions& aActions);
  void CallStore(int aNode, const ObjectCall& aCall);
  void Watch(int aNode, const ObjectCall& aCall, TimePoint aUntil);
  void CallPeer(int aNode, const PeerCall& aCall);
  void AnswerPeer(int aNode, const AnswerPeerAction& aAnswer);
  void ReplyToPeer(const PendingPeerCall& aPending,
                   Verdict aVerdict,
                   std::optional<std::string> aResult);
  void Dispatch(int aNode, const DispatchAction& aDispatch);
  void EndAttempt(int aNode, const DispatchStep& aStep, AttemptOutcome aOutcome, std::string aBody);
  void PublishInstances();
  void CountTraffic(const std::string& aKind, std::size_t aBytes);
  void AddFinalAnswer(const RequestId& aRequest, FinalAnswer aAnswer);
  std::string SendRequest(int aNode, NodeRequest aRequest);

  ManualClock mClock;
  FakeObjectStore mStore;
  boost::random::mt19937_64 mRandom;
  std::vector<std::unique_ptr<Member>> mNodes;
  std::vector<EndpointRecord> mEndpoints;
  std::multimap<TimePoint, std::function<void()>> mScheduledWork;
  std::map<std::uint64_t, PendingPeerCall> mPendingPeerCalls; /**< Not answered yet, by token. */
  std::uint64_t mNextToken = 1;
  std::vector<EndpointRun> mRuns;
  std::map<std::string, TrafficCount> mTraffic;
  std::map<std::string, std::vector<FinalAnswer>> mAnswers;
  std::map<std::string, int> mSentTo;
  std::map<std::string, std::string> mSessions;
  int mNextRequest = 0;
  int mAttemptsToBreak = 0;
  int mConnectionsToRefuse = 0;
};

/** Returns the text of a bundle with one team, two versions, a service and a class.
    @param aSecondState  state of the version `note/2` */
std::string NodeBundle(const std::string& aSecondState = "active");

} // namespace skylarkchute
