#include "EndpointClient.h"

#include "../connections/JsonExchange.h"
#include "../streams/ChunkParser.h"
#include "RefusalVerdict.h"

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
constexpr std::chrono::milliseconds kCancelTimeout{ 2000 };

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
    SetOutcome(late ? AttemptEnd::TimedOut : AttemptEnd::ConnectFailed,
               Verdict::NotRun,
               "no connection to the endpoint");
  } else {
    RunConnected();
  }
  mResult.mDroppedChunks += mAssembler.Dropped().Total();
  mListener->OnEnd(mResult);
  if (mNeedsCancel) {
    SendCancelRequest();
  }
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
    HandleResponse();
  } catch (const Poco::TimeoutException&) {
    SetOutcome(AttemptEnd::TimedOut, Verdict::MayHaveRun, "no response before the deadline");
  } catch (const Poco::Exception&) {
    SetOutcome(AttemptEnd::Broken,
               Verdict::MayHaveRun,
               "the connection failed before a response was received");
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

void EndpointClient::HandleResponse()
{
  const auto& head = mConnection->Head();
  mResult.mContentType = head.getContentType();
  mResult.mOutcome.mHttpStatus = head.getStatus();
  if (head.getStatus() < kFirstSuccess || head.getStatus() >= kFirstClientError ||
      (mRequest.mModelRequest && head.getStatus() >= kFirstRedirect)) {
    HandleErrorResponse();
    return;
  }
  if (!MatchesRequestId()) {
    ++mResult.mDroppedChunks;
    SetOutcome(
      AttemptEnd::Broken, Verdict::MayHaveRun, "the response carries the id of another attempt");
    return;
  }
  if (!mRequest.mStream) {
    HandleBody();
  } else if (mResult.mContentType.starts_with("text/event-stream")) {
    HandleStream();
  } else {
    SetOutcome(AttemptEnd::Broken, Verdict::MayHaveRun, "the response is not an event stream");
  }
}

bool EndpointClient::MatchesRequestId() const
{
  return mAssembler.MatchesRequestId(mConnection->Head().get("X-Request-Id", ""));
}

void EndpointClient::HandleStream()
{
  auto state = ReadStream();
  while (state == StreamState::Broken && ResumeStream()) {
    state = ReadStream();
  }
  const auto usage = mAssembler.Usage();
  mResult.mOutcome.mPromptTokens = usage.mPromptTokens;
  mResult.mOutcome.mCompletionTokens = usage.mCompletionTokens;
  if (state == StreamState::Complete) {
    SetOutcome(AttemptEnd::Complete, Verdict::Ran, "");
  } else if (state == StreamState::Failed) {
    SetOutcome(
      AttemptEnd::Failed, Verdict::MayHaveRun, "the endpoint ended the stream with an error");
  } else if (TimeLeft().count() <= 0) {
    SetOutcome(
      AttemptEnd::TimedOut, Verdict::MayHaveRun, "the stream did not end before the deadline");
  } else {
    SetOutcome(AttemptEnd::Broken, Verdict::MayHaveRun, "the stream ended before its terminator");
  }
}

StreamState EndpointClient::ReadStream()
{
  while (mAssembler.State() == StreamState::Open && TimeLeft().count() > 0) {
    std::string bytes;
    const auto readStatus = mConnection->ReadSome(bytes, TimeLeft());
    for (const auto& it : mAssembler.Feed(bytes)) {
      Deliver(it);
    }
    if (readStatus == ReadStatus::TimedOut) {
      break;
    }
    if (readStatus != ReadStatus::Data) {
      mAssembler.OnConnectionEnd();
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
      // Resumes with GET: an endpoint without support for resuming cannot mistake it for a new
      // request and run it again.
      SendRequest("GET", "", mAssembler.LastNumber());
      mConnection->ReceiveHead(TimeLeft());
    } catch (const Poco::Exception&) {
      continue;
    }
    if (mConnection->Head().getStatus() != kFirstSuccess || !MatchesRequestId()) {
      return false;
    }
    mAssembler.Resume();
    return true;
  }
  return false;
}

void EndpointClient::HandleBody()
{
  auto readStatus = ReadStatus::Broken;
  auto body = ReadBody(readStatus);
  if (readStatus != ReadStatus::Complete) {
    const bool late = readStatus == ReadStatus::TimedOut;
    SetOutcome(late ? AttemptEnd::TimedOut : AttemptEnd::Broken,
               Verdict::MayHaveRun,
               "the response body is incomplete");
    return;
  }
  if (mRequest.mModelRequest) {
    const auto parsed = ParseChunk(body);
    if (!parsed) {
      SetOutcome(AttemptEnd::Broken, Verdict::MayHaveRun, "the response body is not a JSON object");
      return;
    }
    if (!mAssembler.MatchesCompletionId(parsed->mAttempt)) {
      ++mResult.mDroppedChunks;
      SetOutcome(
        AttemptEnd::Broken, Verdict::MayHaveRun, "the response carries the id of another attempt");
      return;
    }
    mResult.mOutcome.mPromptTokens = parsed->mPromptTokens;
    mResult.mOutcome.mCompletionTokens = parsed->mCompletionTokens;
  }
  RecordFirstToken();
  mResult.mBody = std::move(body);
  SetOutcome(AttemptEnd::Complete, Verdict::Ran, "");
}

std::string EndpointClient::ReadBody(ReadStatus& aStatus)
{
  std::string body;
  aStatus = ReadStatus::Data;
  while (aStatus == ReadStatus::Data) {
    if (TimeLeft().count() <= 0) {
      aStatus = ReadStatus::TimedOut;
    } else if (body.size() > mOptions.mMaxBodyBytes) {
      aStatus = ReadStatus::Broken;
    } else {
      aStatus = mConnection->ReadSome(body, TimeLeft());
    }
  }
  return body;
}

void EndpointClient::HandleErrorResponse()
{
  const auto status = mConnection->Head().getStatus();
  auto readStatus = ReadStatus::Broken;
  mResult.mBody = ReadBody(readStatus);
  if (readStatus != ReadStatus::Complete) {
    mResult.mBody.clear();
  }
  if (IsRequestIdAbsentOrMatching() &&
      ReportsNotRun(mConnection->Head().get("Skylark-Verdict", ""), mResult.mBody)) {
    const bool mayRetry = status == kTooManyRequests || status >= kFirstServerError;
    SetOutcome(mayRetry ? AttemptEnd::Refused : AttemptEnd::Rejected,
               Verdict::NotRun,
               "the endpoint refused the request");
    return;
  }
  const bool clientError = status < kFirstServerError && status != kTooManyRequests;
  if (!mRequest.mModelRequest && clientError && readStatus == ReadStatus::Complete &&
      MatchesRequestId()) {
    // Client errors of a plain service (one that serves no model) are passed on to the caller.
    SetOutcome(AttemptEnd::Complete, Verdict::Ran, "");
    return;
  }
  SetOutcome(clientError ? AttemptEnd::Rejected : AttemptEnd::Failed,
             Verdict::MayHaveRun,
             "the endpoint answered with status " + std::to_string(status));
}

bool EndpointClient::IsRequestIdAbsentOrMatching() const
{
  const auto requestId = mConnection->Head().get("X-Request-Id", "");
  return requestId.empty() || mAssembler.MatchesRequestId(requestId);
}

void EndpointClient::Deliver(const StreamChunk& aChunk)
{
  if (!aChunk.mText.empty() || aChunk.mOpaque) {
    RecordFirstToken();
  }
  mResult.mOutcome.mCallerSawBytes = true;
  mListener->OnChunk(mRequest.mAttempt, aChunk);
}

void EndpointClient::RecordFirstToken()
{
  if (mFirstTokenSeen) {
    return;
  }
  mFirstTokenSeen = true;
  mResult.mOutcome.mFirstToken =
    std::chrono::duration_cast<std::chrono::microseconds>(mClock.Now() - mStart);
  mListener->OnFirstToken(mRequest.mAttempt);
}

void EndpointClient::SetOutcome(AttemptEnd aEnd, Verdict aVerdict, std::string aDetail)
{
  const bool whole = aEnd == AttemptEnd::Complete;
  mResult.mOutcome.mEnd = mCancelled && !whole ? AttemptEnd::Cancelled : aEnd;
  mResult.mOutcome.mVerdict = aVerdict;
  mResult.mOutcome.mLatency =
    std::chrono::duration_cast<std::chrono::microseconds>(mClock.Now() - mStart);
  mResult.mDetail = std::move(aDetail);
  mNeedsCancel = mSent && !whole && aVerdict != Verdict::NotRun && mRequest.mModelRequest;
}

void EndpointClient::SendCancelRequest() const
{
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
  const auto elapsed = mClock.Now() - mStart;
  return mRequest.mTimeout - std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
}

} // namespace skylarkchute
