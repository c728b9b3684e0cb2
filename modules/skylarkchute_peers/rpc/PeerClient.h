#pragma once

#include "../PeerTypes.h"
#include "PeerSignature.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace skylarkchute {

/** Calls peers by JSON-RPC over kept-open HTTP connections, on threads of its own. Safe to use from
    several threads. Each peer has few calls under way at a time, so one that does not answer
    cannot take every thread. */
class PeerClient
{
public:
  /** Receives the outcome of each call, once, on any thread. */
  using ReplyHandler = std::function<void(const PeerReply&)>;

  struct Options
  {
    InstanceId mSelf;
    std::string mSharedKey;
    std::size_t mThreads = 8;
    std::size_t mMaxUnderWayPerPeer = 2;
    std::size_t mMaxQueuedPerPeer = 256;
  };

  PeerClient(Options aOptions, const Clock& aClock, ReplyHandler aOnReply);
  ~PeerClient();

  /** Replaces the addresses of the peers. */
  void SetPeers(const std::vector<PeerRecord>& aPeers);

  /** Takes a call. Unknown peers and full queues are answered with NotRun at once. */
  void Submit(const PeerCall& aCall);

private:
  class Connection;

  struct Peer
  {
    PeerRecord mRecord;
    std::deque<PeerCall> mQueue;
    std::vector<std::unique_ptr<Connection>> mIdle;
    std::size_t mUnderWay = 0;
  };

  struct Work
  {
    PeerCall mCall;
    PeerRecord mRecord;
    std::unique_ptr<Connection> mConnection;
  };

  bool TakeWork(Work& aWork);
  void FinishWork(Work aWork, bool aKeepConnection);
  void RunWorker();
  PeerReply Carry(Work& aWork, bool& aKeepConnection);

  Options mOptions;
  const Clock& mClock;
  ReplyHandler mOnReply;
  PeerSignature mSignature;
  std::mutex mMutex;
  std::condition_variable mFilled;
  std::map<InstanceId, Peer> mPeers;
  InstanceId mLastServed; /**< For taking turns between peers. */
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace skylarkchute
