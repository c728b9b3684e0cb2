#pragma once

#include "../connections/EndpointConnection.h"
#include "../streams/StreamAssembler.h"
#include "AttemptRequest.h"
#include "AttemptResult.h"

#include <atomic>
#include <memory>
#include <optional>

namespace skylarkchute {

/** Runs one attempt at one endpoint and determines its verdict: whether the request may have run.

    Run blocks the calling thread until the attempt ends; Cancel may be called from any thread. */
class EndpointClient
{
public:
  /** Receives the progress and result of an attempt, on the thread that runs it. */
  class Listener
  {
  public:
    virtual ~Listener() = default;

    /** Called when the first content of the response has arrived. */
    virtual void OnFirstToken(const AttemptId& aAttempt) = 0;

    /** Called for each chunk of a stream, in order and without gaps. */
    virtual void OnChunk(const AttemptId& aAttempt, const StreamChunk& aChunk) = 0;

    /** Called when the attempt has ended; always the last call. */
    virtual void OnEnd(const AttemptResult& aResult) = 0;
  };

  struct Options
  {
    std::uint32_t mMaxResumes = 3; /**< Per attempt; failed reconnects count too. */
    std::chrono::milliseconds mConnectTimeout{ 1000 };
    std::size_t mMaxBodyBytes = 16UL * 1024 * 1024; /**< For responses that are not streams. */
  };

  EndpointClient(AttemptRequest aRequest, std::shared_ptr<Listener> aListener, Options aOptions);

  /** Runs the attempt to its end and calls OnEnd exactly once. Then sends a cancel request to
      an engine that may still be running it. */
  void Run();

  /** Shuts the connection down, so that Run ends soon. The outcome reports whether the request may
      have run. */
  void Cancel();

  const AttemptRequest& Request() const { return mRequest; }

private:
  void RunConnected();
  void HandleResponse();
  void HandleStream();
  void HandleBody();
  void HandleErrorResponse();
  bool ResumeStream();
  bool OpenConnection();
  void SendRequest(const std::string& aMethod,
                   const std::string& aBody,
                   std::optional<std::uint64_t> aLastNumber);
  StreamState ReadStream();
  std::string ReadBody(ReadStatus& aStatus);
  bool MatchesRequestId() const;
  bool IsRequestIdAbsentOrMatching() const;
  void Deliver(const StreamChunk& aChunk);
  void RecordFirstToken();
  void SetOutcome(AttemptEnd aEnd, Verdict aVerdict, std::string aDetail);
  void SendCancelRequest() const;
  std::chrono::milliseconds TimeLeft() const;

  AttemptRequest mRequest;
  std::shared_ptr<Listener> mListener;
  Options mOptions;
  SystemClock mClock;
  TimePoint mStart;
  StreamAssembler mAssembler;
  AttemptResult mResult;
  bool mSent = false;
  bool mNeedsCancel = false; /**< The endpoint may still be running the abandoned request. */
  bool mFirstTokenSeen = false;
  std::atomic<bool> mCancelled{ false };
  std::mutex mMutex;
  std::shared_ptr<EndpointConnection> mConnection;
};

} // namespace skylarkchute
