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

/** What an endpoint ran. */
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

/** Messages of one kind: peer calls by method with both payloads, or store calls by purpose. */
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

/** Several nodes with a store, fake endpoints and messages under one manual clock. */
class NodeFleet
{
public:
  /** @param aUsageAge  until a usage record's batch is written */
  explicit NodeFleet(std::uint64_t aSeed,
                     int aNodes = 3,
                     std::chrono::milliseconds aUsageAge = std::chrono::milliseconds(500));

  /** Lets time pass. */
  void Run(std::chrono::milliseconds aTime);

  /** Puts a bundle in force in the store. */
  void PutBundle(const std::string& aText, Generation aGeneration);

  /** Sends a model request; returns its id. @param aSession  empty for none */
  std::string SendChat(int aNode, const std::string& aSession = "");

  /** Sends a non-idempotent order; returns its id. */
  std::string SendOrder(int aNode, const std::string& aKey);

  /** Has a node write its records out, as before a stop. */
  void Flush(int aNode);

  void Kill(int aNode);
  void Pause(int aNode);
  void Resume(int aNode);
  bool IsAlive(int aNode) const { return mNodes[Index(aNode)]->mAlive; }
  bool IsPaused(int aNode) const { return mNodes[Index(aNode)]->mPaused; }

  /** Takes an endpoint out of the list in the way of an announced stop. */
  void Leave(const std::string& aEndpoint);

  /** Makes the next attempts at any endpoint end this way after having run. */
  void BreakNext(int aCount) { mBreakNext = aCount; }

  /** Makes the next connections to any endpoint fail. */
  void RefuseNext(int aCount) { mRefuseNext = aCount; }

  FakeObjectStore& Store() { return mStore; }
  Node& NodeAt(int aNode) { return *mNodes[Index(aNode)]->mNode; }
  TimePoint Now() const { return mClock.Now(); }
  NodeTime Time() const { return { mClock.Now(), mClock.WallNow() }; }

  /** Returns what endpoints ran, in order. */
  const std::vector<EndpointRun>& Runs() const { return mRuns; }

  /** Returns the final answers by request; a request with two has a fault. */
  const std::map<std::string, std::vector<FinalAnswer>>& Answers() const { return mAnswers; }

  /** Returns how often an endpoint ran a key. */
  std::size_t RunsOfKey(const std::string& aKey) const;

  /** Returns the node that a request was sent to. */
  int NodeOf(const std::string& aRequest) const { return mSentTo.at(aRequest); }

  /** Returns what all nodes sent since the start, by method or `store PURPOSE`. */
  const std::map<std::string, TrafficCount>& Traffic() const { return mTraffic; }

  /** Returns the generation in force at a node. */
  Generation GenerationAt(int aNode);

  /** Returns the bill folded from the store. */
  std::vector<UsageRecord> Billed() const;

  static constexpr std::chrono::milliseconds kDeadline{ 10'000 };

private:
  struct Member
  {
    std::unique_ptr<Node> mNode;
    std::string mName;
    bool mAlive = true;
    bool mPaused = false;
    std::vector<std::function<void()>> mInbox; /**< What arrived during a pause. */
  };

  struct Waiting
  {
    int mFrom = 0;
    std::uint64_t mCall = 0;
    InstanceId mTo;
    std::string mMethod;
  };

  using Event = std::function<NodeActions(Node&, NodeTime)>;

  static std::size_t Index(int aNode) { return static_cast<std::size_t>(aNode); }
  std::chrono::milliseconds Delay(int aLeast, int aMost);
  void After(std::chrono::milliseconds aDelay, std::function<void()> aWork);
  void Deliver(int aNode, const Event& aEvent);
  void Handle(int aNode, const NodeActions& aActions);
  void CallStore(int aNode, const ObjectCall& aCall);
  void Watch(int aNode, const ObjectCall& aCall, TimePoint aUntil);
  void CallPeer(int aNode, const PeerCall& aCall);
  void AnswerPeer(int aNode, const AnswerPeerAction& aAnswer);
  void ReplyToPeer(const Waiting& aWaiting, Verdict aVerdict, std::optional<std::string> aResult);
  void Dispatch(int aNode, const DispatchAction& aDispatch);
  void EndAttempt(int aNode, const DispatchStep& aStep, AttemptOutcome aOutcome, std::string aBody);
  void ListInstances();
  void CountTraffic(const std::string& aKind, std::size_t aBytes);
  void Answered(const RequestId& aRequest, FinalAnswer aAnswer);
  std::string NewRequest(int aNode, NodeRequest aRequest);

  ManualClock mClock;
  FakeObjectStore mStore;
  boost::random::mt19937_64 mRandom;
  std::vector<std::unique_ptr<Member>> mNodes;
  std::vector<EndpointRecord> mEndpoints;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::map<std::uint64_t, Waiting> mWaiting; /**< Requests of peers, by token. */
  std::uint64_t mNextToken = 1;
  std::vector<EndpointRun> mRuns;
  std::map<std::string, TrafficCount> mTraffic;
  std::map<std::string, std::vector<FinalAnswer>> mAnswers;
  std::map<std::string, int> mSentTo;
  std::map<std::string, std::string> mSessions;
  int mNextRequest = 0;
  int mBreakNext = 0;
  int mRefuseNext = 0;
};

/** Returns a bundle with one team, two versions, a service and classes for the tests of nodes.
    @param aSecondState  state of the version `note/2` */
std::string NodeBundle(const std::string& aSecondState = "active");

} // namespace skylarkchute
