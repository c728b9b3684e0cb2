#pragma once

#include "CallerResponder.h"
#include "EventSequence.h"
#include "HedgedAttempt.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace skylarkchute {

/** Who sent a request to this instance. */
enum class RequestOrigin
{
  Caller,
  Instance, /**< Another instance forwards a caller's request. @see PeerForwarding */
};

/** Relays one request of a caller, with as many attempts as the router allows. Its connection and
    timers keep the object alive until the response is sent or the caller disconnects. */
class RelayedRequest final
  : public HedgeOwner
  , public std::enable_shared_from_this<RelayedRequest>
{
public:
  /** @param aResponder  held weakly, since the caller's connection owns the request */
  RelayedRequest(RelayContext& aContext,
                 CallerHead aHead,
                 std::string aBody,
                 std::weak_ptr<CallerResponder> aResponder,
                 RequestOrigin aOrigin);

  /** Refuses the request, or starts its first attempt. While the start queue holds requests, this
      waits until the queue opens. */
  void Start();

  /** Abandons the request because the caller has disconnected. */
  void OnCallerDisconnected();

  /** Ends the request with the response that it would get at its deadline, because the process
      exits. */
  void EndForShutdown();

  HeadChoice OnHead(const ResponseReader& aReader) override;
  bool OnSending() override;
  void OnBody(std::string aBytes) override;
  void OnDone(bool aReusable) override;
  void OnConnectionFailed(ConnectionFailure aFailure) override;

  RequestPlan& Plan() override { return *mPlan; }
  const AttemptPlan* HedgeableAttempt() const override;
  std::string EncodeHead(const AttemptPlan& aAttempt, TimePoint aNow) const override;
  std::shared_ptr<const std::string> Body() const override { return mBody; }
  bool CheckCaller() override;
  void OnHedgeAnswered() override;

private:
  /** Subtracted from the remaining time that is sent to the endpoint, so that the endpoint times
      out before the relay does. */
  static constexpr std::chrono::milliseconds kDeadlineMargin{ 5 };

  /** A response of an endpoint, held in memory. */
  struct BufferedResponse
  {
    unsigned mStatus = 0;
    boost::beast::http::fields mFields;
    std::string mBody;
    AnswerMemory::Share mMemory;
  };

  /** Returns whether the response has no body, whatever its head says. */
  bool IsHead() const { return mHead.mMethod == "HEAD"; }

  void AdmitRequest(const RelayRequest& aRequest);
  void StartAttempt(bool aWantsLargerModel);
  void BeginAttempt(AttemptPlan aAttempt, TimePoint aSentAt);
  void SendAttempt(AttemptPlan aAttempt);
  void StartHedge();
  void CancelHedge(RelayOutcome aOutcome);
  bool TakeOverHedge();
  void AcceptHead(unsigned aStatus,
                  const boost::beast::http::fields& aFields,
                  bool aEndsWithConnection);
  void EndAttempt(RelayOutcome aOutcome);
  void TryNextAttempt();
  void DropDamagedAttempt();
  void FailRequest(const RelayRefusal& aRefusal);
  void OnAttemptTimeout();
  void WaitOnSilentEndpoint();
  void WaitForAttempt();
  void WaitForRoom(const AdmissionWait& aWait);
  void OnRoom(const RelayRefusal* aRefusal);
  void LeaveQueue();
  void OnDeadline();
  void EndUnanswered(const RelayRefusal& aRefusal);
  void ArmAttemptTimer(std::chrono::milliseconds aTime);
  void CancelAttemptTimer();
  void OnAttemptTimer(std::uint64_t aNumber);
  void SwitchToLargerModel();
  void RecordFirstByte();
  void CountModelReasons();
  bool HasAnswerGotFar() const;
  void RecordProgress();
  void AwaitFirstEvent();
  void AwaitMore();
  bool ForwardEvents(const std::vector<StreamEvent>& aEvents);
  void FinishBuffered(bool aReusable);
  RelayOutcome OutcomeOfFailure() const;
  void FinishStream(bool aReusable);
  void Refuse(const RelayRefusal& aRefusal);
  void SendErrorResponse(unsigned aStatus,
                         std::string_view aReason,
                         std::chrono::milliseconds aRetryAfter);
  void Finish();
  void LogFailedAttempt(RelayOutcome aOutcome);
  void LogFirstByte(std::chrono::microseconds aLatency);

  RelayContext& mContext;
  CallerHead mHead;
  std::shared_ptr<const std::string> mBody;
  std::weak_ptr<CallerResponder> mResponder;
  RequestOrigin mOrigin;
  std::string mId;
  std::optional<RequestPlan> mPlan;
  std::optional<AttemptPlan> mAttempt;
  std::optional<std::uint64_t> mTicket; /**< It waits for room. @see AdmissionWaiters */
  std::shared_ptr<ClientConnection> mConnection;
  std::shared_ptr<HedgedAttempt> mHedge; /**< Of the first attempt that was sent; may be null. */
  boost::asio::steady_timer mDeadlineTimer;
  boost::asio::steady_timer mAttemptTimer;
  std::uint64_t mTimerNumber = 0; /**< Tells a timer that was armed again from one that expired. */
  TimePoint mArrival{};
  TimePoint mWaitsSince{}; /**< For room. */
  TimePoint mSentAt{};
  TimePoint mTimeoutAt{}; /**< Of the attempt, or of the wait for the next one. */
  TimePoint mFirstByteAt{};
  bool mWasSent = false;
  bool mHasFirstByte = false;
  bool mHasProgress = false; /**< The router knows that the answer has got far. */
  bool mIsSilent = false;    /**< The endpoint has been silent for longer than its timeout. */
  bool mIsFinished = false;

  // Response to the current attempt.
  EndpointHead mEndpointHead;
  BufferedResponse mResponse;
  EventSplitter mSplitter;
  bool mIsStream = false;
  bool mEndsWithConnection = false; /**< The response has neither a length nor chunks. */

  // State that outlives an attempt.
  std::optional<BufferedResponse> mFailureResponse; /**< Latest 5xx response; sent to the caller
                                                       when no later attempt succeeds. */
  bool mHasStreamStarted = false;                   /**< The caller has the head of a stream. */
  EventSequence mEvents;
};

} // namespace skylarkchute
