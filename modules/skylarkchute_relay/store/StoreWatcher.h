#pragma once

#include "../net/HttpCall.h"
#include "StoreMirror.h"

namespace skylarkchute {

/** Told how the store answers this instance. */
class StoreHealthListener
{
public:
  virtual ~StoreHealthListener() = default;
  virtual void OnStoreAnswer(ObjectKind aKind) = 0;
  virtual void OnStoreFailure(ObjectKind aKind, const std::string& aReason) = 0;
};

/** Keeps one kind of objects in the mirror equal to the store: lists it, then waits for changes;
    lists it again when the store has dropped the changes in between. */
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher>
{
public:
  /** @param aJitter  from 0 to 1, spreads the repeats of several instances */
  StoreWatcher(boost::asio::io_context& aContext,
               const std::string& aAddress,
               ObjectKind aKind,
               StoreMirror& aMirror,
               StoreHealthListener& aListener,
               std::function<double()> aJitter);

  /** Begins with a list, also when a call is under way. */
  void Restart();

  /** Sets the number of live instances that watch the store. */
  void SetInstances(std::size_t aInstances) { mInstances = aInstances; }

  /** Ends all calls. */
  void Stop();

private:
  void List(const std::string& aAfter);
  void Watch();
  void OnListed(const CallResult& aResult);
  void OnWatched(const CallResult& aResult);
  void Fail(const CallResult& aResult);

  ObjectKind mKind;
  StoreMirror& mMirror;
  StoreHealthListener& mListener;
  std::function<double()> mJitter;
  std::shared_ptr<HttpCall> mCall;
  boost::asio::steady_timer mPauseTimer;
  KindSnapshot mListing;
  std::uint64_t mWatchFrom = 0; /**< Revision up to which the store itself told this kind. */
  std::uint32_t mFailures = 0;  /**< In a row. */
  std::size_t mInstances = 1;
  bool mIsStopped = false;
};

} // namespace skylarkchute
