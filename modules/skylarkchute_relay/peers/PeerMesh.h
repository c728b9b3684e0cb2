#pragma once

#include "../net/HttpCall.h"
#include "MirrorExchange.h"

#include <skylarkchute_peers/following/ChangeSpread.h>
#include <skylarkchute_peers/membership/GossipMembership.h>
#include <skylarkchute_peers/rpc/JsonRpc.h>

#include <set>

namespace skylarkchute {

/** Callbacks of the mesh to its owner. */
class PeerMeshOwner
{
public:
  virtual ~PeerMeshOwner() = default;

  /** Fills in what is sent to an instance, except for the membership.
      @param aKnown      what the receiver last reported, or null when it is unknown
      @param aMaxBytes   limit on the changes of each kind; larger ones are left out, and the
     receiver asks for them */
  virtual void FillExchange(PeerExchange& aExchange,
                            const KnownKinds* aKnown,
                            std::size_t aMaxBytes) = 0;

  virtual void OnExchange(const PeerExchange& aExchange) = 0;

  /** Returns whether an instance's copies are newer than those of this one. */
  virtual bool IsBehind(const KnownKinds& aKinds) const = 0;

  virtual void OnPeerChanged(const MemberChange& aChange) = 0;
};

/** Calls between the instances of this system, by JSON-RPC. Caller and callee exchange their state
    in each call. Regular calls probe the other instances and carry what these have missed; a change
    is told to a few at once, and those that lack it ask for it. */
class PeerMesh
{
public:
  /** @param aSeeds       `IP:PORT` addresses to call while no other instance is known
      @param aRandomSeed  seed of the random choice of instances to call */
  PeerMesh(boost::asio::io_context& aContext,
           PeerMeshOwner& aOwner,
           MemberRecord aSelf,
           std::vector<std::string> aSeeds,
           std::uint64_t aRandomSeed);

  /** Adds an instance that the store lists. */
  void Introduce(const MemberRecord& aRecord);

  /** Replaces the addresses to contact at the start and while no other instance is known. */
  void SetSeeds(std::vector<std::string> aSeeds) { mMembers.SetContacts(std::move(aSeeds)); }

  /** Calls the next instance, and a seed that is not known to be one. To be called every kInterval.
   */
  void Tick(TimePoint aNow);

  /** Calls an instance, now or after the call in progress. */
  void Call(const std::string& aName);

  /** Calls any one instance, so that evidence reaches all sooner. */
  void CallAny();

  /** Tells a few instances of a change of the objects. */
  void SpreadChange(ChangeSpread::Source aSource);

  /** Discards what was expected of other instances before this process was paused, and calls one.
   */
  void OnPause(TimePoint aNow);

  /** Returns the JSON-RPC response to a call of another instance. */
  std::string Serve(const std::string& aRequest);

  GossipMembership& Members() { return mMembers; }
  const GossipMembership& Members() const { return mMembers; }

  /** Time between two calls of Tick. */
  static constexpr std::chrono::milliseconds kInterval = GossipMembership::kTickInterval;

private:
  /** State of the calls to one instance. */
  struct Peer
  {
    std::string mAddress;
    std::shared_ptr<HttpCall> mCall;
    KnownKinds mKinds;
    bool mCallsAgain = false;       /**< Something new has to be sent after the call in progress. */
    std::string mProbe;             /**< As in PeerExchange, for the next call. */
    std::set<std::string> mReached; /**< As in PeerExchange, for the next call. */
    std::string mSentProbe;         /**< What the call in progress carries of these. */
    std::set<std::string> mSentReached;
    std::set<std::string> mRequesters; /**< Who asked this instance to reach the peer. */
  };

  Peer* PeerFor(const std::string& aName);
  void CallSeed(const std::string& aAddress);
  PeerExchange MakeRequest(const std::string& aReceiver, const KnownKinds* aKnown);
  PeerExchange MakeResponse(const std::string& aReceiver, const KnownKinds& aKnown);
  void HandleExchange(const PeerExchange& aExchange);
  void OnPeerAnswer(const std::string& aName, const CallResult& aResult);
  bool HandleAnswer(const CallResult& aResult);
  void DropIdleConnections();
  void Repeat(const std::string& aName, Peer& aPeer);
  void ProbeThroughOthers(const std::string& aName);
  void ReportChanges();

  boost::asio::io_context& mContext;
  PeerMeshOwner& mOwner;
  MemberRecord mSelf;
  std::shared_ptr<HttpCall> mSeedCall;
  GossipMembership mMembers;
  ChangeSpread mSpread;
  std::map<std::string, Peer> mPeers;
  std::string mSource; /**< Instance from which newer objects are being fetched; may be empty. */
  TimePoint mSourceSince{}; /**< When mSource was chosen. */
  JsonRpcDispatcher mDispatcher;
};

} // namespace skylarkchute
