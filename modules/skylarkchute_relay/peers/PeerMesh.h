#pragma once

#include "../net/HttpCall.h"
#include "PeerExchange.h"

#include <skylarkchute_peers/rpc/JsonRpc.h>

#include <random>

namespace skylarkchute {

/** Callbacks of the mesh to its owner. */
class PeerMeshOwner
{
public:
  virtual ~PeerMeshOwner() = default;

  /** Returns the message to send to an instance.
      @param aKnown  the state that the receiver last reported, or null when it is unknown */
  virtual PeerExchange MakeExchange(const std::map<ObjectKind, KindState>* aKnown) = 0;
  virtual void OnExchange(const PeerExchange& aExchange) = 0;
  virtual void OnPeerChanged(const std::string& aName, bool aIsLive) = 0;
};

/** Gossip between the instances of this system: each one regularly calls a few others, chosen at
    random, by JSON-RPC, and caller and callee exchange their state. An instance is live while it
    answers or calls. */
class PeerMesh
{
public:
  /** @param aSeeds       `IP:PORT` addresses to call while no other instance is known
      @param aRandomSeed  seed of the random choice of instances to call */
  PeerMesh(boost::asio::io_context& aContext,
           PeerMeshOwner& aOwner,
           InstanceEntry aSelf,
           std::vector<std::string> aSeeds,
           std::uint64_t aRandomSeed);

  /** Adds or replaces an instance. */
  void SetPeer(const InstanceEntry& aEntry);

  /** Replaces the addresses to call while no other instance is known. */
  void SetSeeds(std::vector<std::string> aSeeds);

  /** Removes an instance whose store entry is gone, unless it is still live. */
  void RemovePeer(const std::string& aName);

  /** Updates which instances are live and calls a few of them, or a seed when none is known. To be
      called every kInterval. */
  void Tick(TimePoint aNow);

  /** Returns the JSON-RPC response to a call of another instance. */
  std::string Serve(const std::string& aRequest);

  /** Returns the live instances, without this one. */
  std::vector<InstanceId> LivePeers(TimePoint aNow) const;

  /** Returns the names of the instances that were not heard from for at least @p aTime. */
  std::vector<std::string> PeersSilentFor(std::chrono::milliseconds aTime, TimePoint aNow) const;

  /** Time between two calls of Tick. */
  static constexpr std::chrono::milliseconds kInterval{ 400 };

private:
  struct Peer
  {
    InstanceEntry mEntry;
    std::shared_ptr<HttpCall> mCall;
    TimePoint mKnownSince{};
    TimePoint mLastHeard{};
    std::map<ObjectKind, KindState> mKinds;
    bool mIsLive = false;
  };

  void CallPeer(const std::string& aName);
  void CallSeed();
  void HandleExchange(const PeerExchange& aExchange);
  void OnAnswer(const CallResult& aResult);

  boost::asio::io_context& mContext;
  PeerMeshOwner& mOwner;
  InstanceEntry mSelf;
  std::vector<std::string> mSeeds;
  std::size_t mNextSeedIndex = 0;
  std::shared_ptr<HttpCall> mSeedCall;
  std::map<std::string, Peer> mPeers;
  std::minstd_rand mRandom;
  JsonRpcDispatcher mDispatcher;
};

} // namespace skylarkchute
