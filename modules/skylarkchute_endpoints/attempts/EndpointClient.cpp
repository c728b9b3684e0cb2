#include "EndpointClient.h"

#include "../connections/JsonExchange.h"
#include "../streams/ChunkParser.h"
#include "RefusalWord.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr int kTooManyRequests = 429;
constexpr std::chrono::milliseconds kCancelTimeout{ 500 };

} // namespace

EndpointClient::EndpointClient(AttemptRequest aRequest,
                               std::shared_ptr<Listener> aListener,
                               Options aOptions)
  : mRequest(std::move(aRequest))
  , mListener(std::move(aListener))
  , mOptions(aOptions)
  , mStart(mClock.Now())
  , mAssembler(mRequest.mAttempt)
{
  assert(mListener);
  mResult.mAttempt = mRequest.mAttempt;
}

void EndpointClient::Run()
{
  if (!OpenConnection()) {
    const bool late = TimeLeft().count() <= 0;
    End(late ? AttemptEnd::TimedOut : AttemptEnd::ConnectFailed,
        Verdict::NotRun,
        "no connection to the endpoint");
  } else {
    RunConnected();
  }
  mResult.mDroppedChunks += mAssembler.Dropped().Total();
  mListener->OnEnd(mResult);
}

void EndpointClient::Cancel()
{
  mCancelled = true;
  const std::lock_guard lock(mMutex);
  if (mConnection) {
    mConnection->Shutdown();
  }
}

bool EndpointClient::OpenConnection()
{
  auto connection = std::make_shared<EndpointConnection>(mRequest.mAddress, mRequest.mPort);
  {
    const std::lock_guard lock(mMutex);
    mConnection = connection;
  }
  if (mCancelled || TimeLeft().count() <= 0) {
    return false;
  }
  try {
    connection->Connect(std::min(mOptions.mConnectTimeout, TimeLeft()));
  } catch (const Poco::Exception&) {
    return false;
  }
  return !mCancelled;
}

void EndpointClient::RunConnected()
{
  try {
    mSent = true;
    SendRequest(mRequest.mMethod, mRequest.mBody, std::nullopt);
    mConnection->ReceiveHead(TimeLeft());
    TakeAnswer();
  } catch (const Poco::TimeoutException&) {
    End(AttemptEnd::TimedOut, Verdict::MayHaveRun, "no answer before the deadline");
  } catch (const Poco::Exception&) {
    End(AttemptEnd::Broken, Verdict::MayHaveRun, "the connection ended before an answer");
  }
}

void EndpointClient::SendRequest(const std::string& aMethod,
                                 const std::string& aBody,
                                 std::optional<std::uint64_t> aLastNumber)
{
  Poco::Net::HTTPRequest request(aMethod, mRequest.mPath, "HTTP/1.1");
  request.set("X-Request-Id", mRequest.mAttempt.Value());
  request.set("X-Priority", std::to_string(mRequest.mPriority));
  if (!mRequest.mRequestKey.IsEmpty()) {
    request.set("Idempotency-Key", mRequest.mRequestKey.Value());
  }
  if (!mRequest.mContentType.empty()) {
    request.setContentType(mRequest.mContentType);
  }
  if (aLastNumber) {
    request.set("Last-Event-ID", std::to_string(*aLastNumber));
  }
  mConnection->Send(request, aBody, TimeLeft());
}

void EndpointClient::TakeAnswer()
{
  const auto& head = mConnection->Head();
  mResult.mContentType = head.getContentType();
  mResult.mOutcome.mHttpStatus = head.getStatus();
  if (head.getStatus() < kFirstSuccess || head.getStatus() >= kFirstClientError ||
      (mRequest.mModelRequest && head.getStatus() >= kFirstRedirect)) {
    TakeError();
    return;
  }
  if (!IsEchoRight()) {
    ++mResult.mDroppedChunks;
    End(AttemptEnd::Broken, Verdict::MayHaveRun, "the answer names another attempt");
    return;
  }
  if (mRequest.mStream && mResult.mContentType.starts_with("text/event-stream")) {
    TakeStream();
  } else {
    TakeBody();
  }
}

bool EndpointClient::IsEchoRight() const
{
  return mAssembler.IsEchoRight(mConnection->Head().get("X-Request-Id", ""));
}

void EndpointClient::TakeStream()
{
  auto state = ReadStream();
  while (state == StreamState::Broken && ResumeStream()) {
    state = ReadStream();
  }
  const auto usage = mAssembler.Usage();
  mResult.mOutcome.mPromptTokens = usage.mPromptTokens;
  mResult.mOutcome.mCompletionTokens = usage.mCompletionTokens;
  if (state == StreamState::Complete) {
    End(AttemptEnd::Complete, Verdict::Ran, "");
  } else if (state == StreamState::Failed) {
    End(AttemptEnd::Failed, Verdict::MayHaveRun, "the endpoint ended the stream with an error");
  } else if (TimeLeft().count() <= 0) {
    End(AttemptEnd::TimedOut, Verdict::MayHaveRun, "the stream did not end before the deadline");
  } else {
    End(AttemptEnd::Broken, Verdict::MayHaveRun, "the stream ended before its terminator");
  }
}

StreamState EndpointClient::ReadStream()
{
  while (mAssembler.State() == StreamState::Open && TimeLeft().count() > 0) {
    std::string bytes;
    const auto end = mConnection->ReadSome(bytes, TimeLeft());
    for (const auto& it : mAssembler.Feed(bytes)) {
      Deliver(it);
    }
    if (end == ReadEnd::TimedOut) {
      break;
    }
    if (end != ReadEnd::Data) {
      mAssembler.ConnectionEnded();
    }
  }
  return mAssembler.State();
}

bool EndpointClient::ResumeStream()
{
  while (mResult.mResumes < mOptions.mMaxResumes && !mCancelled && TimeLeft().count() > 0) {
    ++mResult.mResumes;
    if (!OpenConnection()) {
      continue;
    }
    try {
      // A GET cannot start a run at an endpoint that does not know how to resume.
      SendRequest("GET", "", mAssembler.LastNumber());
      mConnection->ReceiveHead(TimeLeft());
    } catch (const Poco::Exception&) {
      continue;
    }
    if (mConnection->Head().getStatus() != kFirstSuccess || !IsEchoRight()) {
      return false;
    }
    mAssembler.Resume();
    return true;
  }
  return false;
}

void EndpointClient::TakeBody()
{
  auto end = ReadEnd::Broken;
  auto body = ReadBody(end);
  if (end != ReadEnd::Whole) {
    const bool late = end == ReadEnd::TimedOut;
    End(late ? AttemptEnd::TimedOut : AttemptEnd::Broken,
        Verdict::MayHaveRun,
        "the answer was cut off");
    return;
  }
  if (mRequest.mModelRequest) {
    const auto parsed = ParseChunk(body);
    if (!parsed) {
      End(AttemptEnd::Broken, Verdict::MayHaveRun, "the answer is not a JSON object");
      return;
    }
    if (!mAssembler.IsOwnId(parsed->mAttempt)) {
      ++mResult.mDroppedChunks;
      End(AttemptEnd::Broken, Verdict::MayHaveRun, "the answer names another attempt");
      return;
    }
    mResult.mOutcome.mPromptTokens = parsed->mPromptTokens;
    mResult.mOutcome.mCompletionTokens = parsed->mCompletionTokens;
  }
  NoteFirstToken();
  mResult.mBody = std::move(body);
  End(AttemptEnd::Complete, Verdict::Ran, "");
}

std::string EndpointClient::ReadBody(ReadEnd& aEnd)
{
  std::string body;
  aEnd = ReadEnd::Data;
  while (aEnd == ReadEnd::Data) {
    if (TimeLeft().count() <= 0) {
      aEnd = ReadEnd::TimedOut;
    } else if (body.size() > mOptions.mMaxBodyBytes) {
      aEnd = ReadEnd::Broken;
    } else {
      aEnd = mConnection->ReadSome(body, TimeLeft());
    }
  }
  return body;
}

void EndpointClient::TakeError()
{
  const auto status = mConnection->Head().getStatus();
  auto end = ReadEnd::Broken;
  mResult.mBody = ReadBody(end);
  if (end != ReadEnd::Whole) {
    mResult.mBody.clear();
  }
  if (IsEchoAllowed() &&
      SaysNotRun(mConnection->Head().get("Skylark-Verdict", ""), mResult.mBody)) {
    const bool mayRetry = status == kTooManyRequests || status >= kFirstServerError;
    End(mayRetry ? AttemptEnd::Refused : AttemptEnd::Rejected,
        Verdict::NotRun,
        "the endpoint refused the request");
    return;
  }
  const bool clientError = status < kFirstServerError && status != kTooManyRequests;
  if (!mRequest.mModelRequest && clientError && end == ReadEnd::Whole && IsEchoRight()) {
    // What a plain service says to its client is for the caller to read.
    End(AttemptEnd::Complete, Verdict::Ran, "");
    return;
  }
  End(clientError ? AttemptEnd::Rejected : AttemptEnd::Failed,
      Verdict::MayHaveRun,
      "the endpoint answered with status " + std::to_string(status));
}

bool EndpointClient::IsEchoAllowed() const
{
  const auto echo = mConnection->Head().get("X-Request-Id", "");
  return echo.empty() || mAssembler.IsEchoRight(echo);
}

void EndpointClient::Deliver(const StreamChunk& aChunk)
{
  if (!aChunk.mText.empty() || aChunk.mOpaque) {
    NoteFirstToken();
  }
  mResult.mOutcome.mCallerSawBytes = true;
  mListener->OnChunk(mRequest.mAttempt, aChunk);
}

void EndpointClient::NoteFirstToken()
{
  if (mFirstTokenSeen) {
    return;
  }
  mFirstTokenSeen = true;
  mResult.mOutcome.mFirstToken =
    std::chrono::duration_cast<std::chrono::microseconds>(mClock.Now() - mStart);
  mListener->OnFirstToken(mRequest.mAttempt);
}

void EndpointClient::End(AttemptEnd aEnd, Verdict aVerdict, std::string aDetail)
{
  const bool whole = aEnd == AttemptEnd::Complete;
  mResult.mOutcome.mEnd = mCancelled && !whole ? AttemptEnd::Cancelled : aEnd;
  mResult.mOutcome.mVerdict = aVerdict;
  mResult.mOutcome.mLatency =
    std::chrono::duration_cast<std::chrono::microseconds>(mClock.Now() - mStart);
  mResult.mDetail = std::move(aDetail);
  if (mSent && !whole && aVerdict != Verdict::NotRun) {
    TellEndpointToCancel();
  }
}

void EndpointClient::TellEndpointToCancel() const
{
  if (!mRequest.mModelRequest) {
    return;
  }
  JsonExchangeRequest cancel;
  cancel.mAddress = mRequest.mAddress;
  cancel.mPort = mRequest.mPort;
  cancel.mMethod = "POST";
  cancel.mPath = "/v1/cancel";
  cancel.mBody = R"({"request_id":")" + mRequest.mAttempt.Value() + R"("})";
  cancel.mTimeout = kCancelTimeout;
  ExchangeJson(cancel);
}

std::chrono::milliseconds EndpointClient::TimeLeft() const
{
  const auto spent = mClock.Now() - mStart;
  return mRequest.mTimeout - std::chrono::duration_cast<std::chrono::milliseconds>(spent);
}

} // namespace skylarkchute
