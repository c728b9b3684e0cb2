#pragma once

#include "../connections/EndpointConnection.h"
#include "../streams/StreamAssembler.h"
#include "AttemptRequest.h"
#include "AttemptResult.h"

#include <atomic>
#include <memory>
#include <optional>

namespace skylarkchute {

/** Runs one attempt at one endpoint and judges whether it may have run.

    Run blocks its thread until the attempt ends; Cancel may be called from any thread. */
class EndpointClient
{
public:
  /** Receives what an attempt brings, on the thread that runs the attempt. */
  class Listener
  {
  public:
    virtual ~Listener() = default;

    /** The first content of the answer has arrived. */
    virtual void OnFirstToken(const AttemptId& aAttempt) = 0;

    /** The next chunk of a stream, in order and without gaps. */
    virtual void OnChunk(const AttemptId& aAttempt, const StreamChunk& aChunk) = 0;

    /** The attempt has ended; nothing follows. */
    virtual void OnEnd(const AttemptResult& aResult) = 0;
  };

  struct Options
  {
    std::uint32_t mMaxResumes = 3; /**< Of one broken stream. */
    std::chrono::milliseconds mConnectTimeout{ 1000 };
    std::size_t mMaxBodyBytes = 16UL * 1024 * 1024; /**< Of an answer that is not a stream. */
  };

  EndpointClient(AttemptRequest aRequest, std::shared_ptr<Listener> aListener, Options aOptions);

  /** Runs the attempt to its end and calls OnEnd exactly once. */
  void Run();

  /** Ends the attempt soon; its outcome says whether it may have run. */
  void Cancel();

  const AttemptRequest& Request() const { return mRequest; }

private:
  void RunConnected();
  void TakeAnswer();
  void TakeStream();
  void TakeBody();
  void TakeError();
  bool ResumeStream();
  bool OpenConnection();
  void SendRequest(const std::string& aMethod,
                   const std::string& aBody,
                   std::optional<std::uint64_t> aLastNumber);
  StreamState ReadStream();
  std::string ReadBody(ReadEnd& aEnd);
  bool IsEchoRight() const;
  bool IsEchoAllowed() const;
  void Deliver(const StreamChunk& aChunk);
  void NoteFirstToken();
  void End(AttemptEnd aEnd, Verdict aVerdict, std::string aDetail);
  void TellEndpointToCancel() const;
  std::chrono::milliseconds TimeLeft() const;

  AttemptRequest mRequest;
  std::shared_ptr<Listener> mListener;
  Options mOptions;
  SystemClock mClock;
  TimePoint mStart;
  StreamAssembler mAssembler;
  AttemptResult mResult;
  bool mSent = false;
  bool mFirstTokenSeen = false;
  std::atomic<bool> mCancelled{ false };
  std::mutex mMutex;
  std::shared_ptr<EndpointConnection> mConnection;
};

} // namespace skylarkchute
