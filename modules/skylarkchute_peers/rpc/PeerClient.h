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

/** Calls peers by JSON-RPC over persistent HTTP connections, on its own worker threads.
    Thread-safe. The number of calls in flight per peer is limited, so a peer that does not answer
    cannot occupy every worker thread. */
class PeerClient
{
public:
  /** Called exactly once per call with its outcome, on any thread. Calls that are still queued when
      the client is destroyed get no outcome. */
  using ReplyHandler = std::function<void(const PeerReply&)>;

  struct Options
  {
    InstanceId mSelf;
    std::string mSharedKey;
    std::size_t mThreads = 8;
    std::size_t mMaxInFlightPerPeer = 2;
    std::size_t mMaxQueuedPerPeer = 256;
  };

  PeerClient(Options aOptions, const Clock& aClock, ReplyHandler aOnReply);
  ~PeerClient();

  /** Replaces the set of peers. Queued calls to peers that are no longer in it end with NotRun. */
  void SetPeers(const std::vector<PeerRecord>& aPeers);

  /** Queues a call. It ends with NotRun at once when the peer is unknown or its queue is full. */
  void Submit(const PeerCall& aCall);

private:
  class Connection;

  struct Peer
  {
    PeerRecord mRecord;
    std::deque<PeerCall> mQueue;
    std::vector<std::unique_ptr<Connection>> mIdle;
    std::size_t mInFlight = 0;
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
  PeerReply PerformCall(Work& aWork, bool& aKeepConnection);

  Options mOptions;
  const Clock& mClock;
  ReplyHandler mOnReply;
  PeerSignature mSignature;
  std::mutex mMutex;
  std::condition_variable mWorkAvailable;
  std::map<InstanceId, Peer> mPeers;
  InstanceId mLastServed; /**< Peer of the last call taken; the queues are served round-robin. */
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace skylarkchute
