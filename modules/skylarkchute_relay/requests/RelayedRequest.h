#pragma once

#include "../http/EventSplitter.h"
#include "CallerAnswer.h"
#include "RelayContext.h"

#include <platform/RequestCodec.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace skylarkchute {

/** One request of a caller on its way through its attempts. Keeps itself alive through its
    connection and timers until the caller has its answer or has left. */
class RelayedRequest final
  : public ResponseListener
  , public std::enable_shared_from_this<RelayedRequest>
{
public:
  /** @param aAnswer  weakly held: the caller's session owns the request */
  RelayedRequest(RelayContext& aContext,
                 CallerHead aHead,
                 std::string aBody,
                 std::weak_ptr<CallerAnswer> aAnswer);

  /** Decides on the request and starts its first attempt. */
  void Start();

  /** Ends the request: the caller has left. */
  void OnCallerGone();

  HeadChoice OnHead(const AnswerReader& aReader) override;
  void OnSent() override;
  void OnBody(std::string aBytes) override;
  void OnDone(bool aReusable) override;
  void OnConnectionFailed(ConnectionFailure aFailure) override;

private:
  /** A failure that an endpoint answered with; passed on when no attempt does better. */
  struct WholeAnswer
  {
    unsigned mStatus = 0;
    boost::beast::http::fields mFields;
    std::string mBody;
  };

  void Decide(const RelayRequest& aRequest);
  void StartAttempt(bool aAsksLarger);
  void Launch(AttemptPlan aAttempt);
  void EndAttempt(RelayOutcome aOutcome);
  void GoOn();
  void GiveUp(const RelayRefusal& aRefusal);
  void OnAttemptTimeout();
  void OnEndOfTime();
  void ArmAttemptTimer(std::chrono::milliseconds aTime);
  void SwitchToLargerModel();
  void NoteFirstByte();
  bool ForwardEvents(const std::vector<StreamEvent>& aEvents);
  void FinishWhole(bool aReusable);
  void FinishStream(bool aReusable);
  void Refuse(const RelayRefusal& aRefusal);
  void AnswerOwn(unsigned aStatus, std::string_view aReason, std::chrono::milliseconds aRetryAfter);
  void Finish();
  void LogAttempt(RelayOutcome aOutcome);
  void LogFirstByte(std::chrono::microseconds aLatency);

  RelayContext& mContext;
  CallerHead mHead;
  std::shared_ptr<const std::string> mBody;
  std::weak_ptr<CallerAnswer> mAnswer;
  std::string mId;
  std::optional<RequestPlan> mPlan;
  std::optional<AttemptPlan> mAttempt;
  std::shared_ptr<ClientConnection> mConnection;
  boost::asio::steady_timer mEndTimer;
  boost::asio::steady_timer mAttemptTimer;
  TimePoint mArrival{};
  TimePoint mSentAt{};
  bool mWasSent = false;
  bool mHasFirstByte = false;
  bool mIsFinished = false;

  // The answer of the attempt under way.
  EndpointHead mEndpointHead;
  WholeAnswer mWhole;
  EventSplitter mSplitter;
  bool mIsStream = false;

  // What the caller has got.
  std::optional<WholeAnswer> mFailure;
  bool mHasBegun = false;
  std::optional<std::uint64_t> mLastEvent;
};

} // namespace skylarkchute
