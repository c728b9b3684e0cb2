#pragma once

#include "../http/EventSplitter.h"
#include "RelayContext.h"

#include <platform/RequestCodec.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace skylarkchute {

/** The request that a hedge belongs to. Once it has taken the hedge over, it receives the hedge's
    response as the listener of its current attempt. */
class HedgeOwner : public ResponseListener
{
public:
  virtual RequestPlan& Plan() = 0;

  /** Returns the attempt in progress if a copy of it may be sent, else null. */
  virtual const AttemptPlan* HedgeableAttempt() const = 0;

  /** Returns the head of the request for another attempt. */
  virtual std::string EncodeHead(const AttemptPlan& aAttempt, TimePoint aNow) const = 0;
  virtual std::shared_ptr<const std::string> Body() const = 0;

  /** Abandons the request if its caller has left.
      @returns whether the caller is still connected */
  virtual bool CheckCaller() = 0;

  /** The hedge answered first. The owner ends its own attempt and takes the hedge over. */
  virtual void OnHedgeAnswered() = 0;
};

/** A second attempt beside the first one of a request. It waits until the first is slow, sends a
    copy of the request, and holds the response back until the owner takes it over or cancels it. */
class HedgedAttempt final
  : public ResponseListener
  , public std::enable_shared_from_this<HedgedAttempt>
{
public:
  /** A response that is held back, as far as it was received. */
  struct HeldResponse
  {
    EndpointHead mHead;
    unsigned mStatus = 0;
    boost::beast::http::fields mFields;
    bool mEndsWithConnection = false;
    std::string mBody;
    bool mIsComplete = false;
    bool mIsReusable = false; /**< The connection, after the complete response. */
  };

  /** @param aOwner  held weakly
      @param aId     of the request */
  HedgedAttempt(RelayContext& aContext, std::weak_ptr<HedgeOwner> aOwner, std::string aId);

  /** Starts to wait.
      @param aDelay  time until the copy is sent, unless the owner cancels it before */
  void Start(std::chrono::milliseconds aDelay);

  /** Ends the wait, or the copy, whose connection is closed at once. Does nothing once the owner
     has taken it over.
      @param aOutcome  how the copy ended */
  void Cancel(RelayOutcome aOutcome);

  /** Returns whether the copy is in progress and not the owner's current attempt. */
  bool IsInProgress() const { return mState == State::InProgress; }

  /** Returns whether an answer of the copy, which has to be in progress, is not to be expected
      soon: its timeout has passed, or its zone is avoided by now. */
  bool IsSilent(TimePoint aNow) const;

  /** Makes the copy, which has to be in progress, the owner's current attempt. The owner receives
      what follows of the response.
      @returns what was held back of it; nothing while its head has not arrived */
  std::optional<HeldResponse> TakeOver();

  const AttemptPlan& Attempt() const { return *mAttempt; }
  const std::shared_ptr<ClientConnection>& Connection() const { return mConnection; }
  TimePoint SentAt() const { return mSentAt; }
  bool WasSent() const { return mWasSent; }

  HeadChoice OnHead(const ResponseReader& aReader) override;
  bool OnSending() override;
  void OnBody(std::string aBytes) override;
  void OnDone(bool aReusable) override;
  void OnConnectionFailed(ConnectionFailure aFailure) override;

private:
  enum class State
  {
    Waiting,
    InProgress,
    TakenOver, /**< It is the owner's current attempt. */
    Ended,
  };

  void WaitFor(std::chrono::milliseconds aTime);
  void OnDue();
  void Send(HedgeOwner& aOwner, AttemptPlan aAttempt);
  void OnAnswered();
  void End(RelayOutcome aOutcome);
  void LogEnd(std::string_view aResult) const;
  std::string ServiceLabel(HedgeOwner& aOwner) const;

  RelayContext& mContext;
  std::weak_ptr<HedgeOwner> mOwner;
  std::string mId;
  boost::asio::steady_timer mTimer;
  State mState = State::Waiting;
  std::optional<AttemptPlan> mAttempt;
  std::shared_ptr<ClientConnection> mConnection;
  EndpointId mFirstEndpoint; /**< Of the attempt that it is a copy of. */
  std::chrono::milliseconds mDelay{ 0 };
  TimePoint mSentAt{};
  TimePoint mHeardAt{}; /**< When the last part of the response arrived. */
  bool mWasSent = false;

  std::optional<HeldResponse> mHeld;
  AnswerMemory::Share mMemory; /**< Of the body that is held back. */
  EventSplitter mSplitter;
  bool mIsStream = false;
};

} // namespace skylarkchute
