#pragma once

#include "../net/HttpCall.h"
#include "PeerExchange.h"

#include <skylarkchute_peers/rpc/JsonRpc.h>

#include <random>

namespace skylarkchute {

/** What the mesh asks of its owner. */
class PeerMeshOwner
{
public:
  virtual ~PeerMeshOwner() = default;

  /** Returns what to tell an instance. @param aKnown  what it is known to know, or null */
  virtual PeerExchange MakeExchange(const std::map<ObjectKind, KindState>* aKnown) = 0;
  virtual void OnExchange(const PeerExchange& aExchange) = 0;
  virtual void OnPeerChanged(const std::string& aName, bool aIsLive) = 0;
};

/** Keeps the instances of this system in touch: each calls a few others in turn by JSON-RPC, and
    both tell what they know. An instance is live while it answers or calls. */
class PeerMesh
{
public:
  /** @param aSeeds  addresses to call while no other instance is known */
  PeerMesh(boost::asio::io_context& aContext,
           PeerMeshOwner& aOwner,
           InstanceEntry aSelf,
           std::vector<std::string> aSeeds,
           std::uint64_t aSeed);

  /** Adds or replaces an instance. */
  void SetPeer(const InstanceEntry& aEntry);

  /** Replaces the addresses to call while no other instance is known. */
  void SetSeeds(std::vector<std::string> aSeeds);

  /** Takes an instance out whose entry is gone. */
  void RemovePeer(const std::string& aName);

  /** Calls a few instances. Call at the mesh's interval. */
  void Tick(TimePoint aNow);

  /** Answers a call of another instance. */
  std::string Serve(const std::string& aRequest);

  /** Returns the live instances, without this one. */
  std::vector<InstanceId> Live(TimePoint aNow) const;

  /** Returns the instances that have been silent for a while. */
  std::vector<std::string> SilentFor(std::chrono::milliseconds aTime, TimePoint aNow) const;

  /** Time between two ticks. */
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
  void Hear(const PeerExchange& aExchange);
  void OnAnswer(const CallResult& aResult);

  boost::asio::io_context& mContext;
  PeerMeshOwner& mOwner;
  InstanceEntry mSelf;
  std::vector<std::string> mSeeds;
  std::size_t mNextSeed = 0;
  std::shared_ptr<HttpCall> mSeedCall;
  std::map<std::string, Peer> mPeers;
  std::minstd_rand mRandom;
  JsonRpcDispatcher mDispatcher;
};

} // namespace skylarkchute
