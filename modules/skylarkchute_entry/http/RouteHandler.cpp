#include "RouteHandler.h"

#include "MessageWriter.h"
#include "PeerState.h"

#include <skylarkchute_endpoints/json/JsonObject.h>

#include <Poco/Exception.h>

#include <array>

namespace skylarkchute {

namespace {

constexpr std::size_t kRequestIdBytes = 12;
constexpr std::size_t kReadBufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds kDisconnectPollPeriod{ 250 };
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kModelsPath = "/v1/models";
constexpr std::string_view kTicketsPath = "/v1/tickets";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::string PathOf(const std::string& aUri)
{
  return aUri.substr(0, aUri.find('?'));
}

} // namespace

RouteHandler::RouteHandler(EntryContext aContext,
                           ConnectionRegistry::Entry& aConnection,
                           Poco::Net::HTTPServerRequestImpl& aRequest,
                           Poco::Net::HTTPServerResponse& aResponse)
  : mContext(aContext)
  , mConnection(aConnection)
  , mRequest(aRequest)
  , mResponse(aResponse)
  , mId(SecureRandomHex(kRequestIdBytes))
  , mWriter(aResponse, mId, aRequest.getMethod() == "HEAD")
  , mBodyReservation(aContext.mBodyBudget)
{
}

bool RouteHandler::Serve()
{
  return ServeRequest() && mResponse.getKeepAlive();
}

bool RouteHandler::ServeRequest()
{
  const auto path = PathOf(mRequest.getURI());
  if (mRequest.has("Transfer-Encoding") && mRequest.hasContentLength()) {
    return RefuseUnread(
      kBadRequest, "bad-framing", "send Content-Length or Transfer-Encoding, not both");
  }
  if (path == kChatPath || path.starts_with(kServicesPrefix)) {
    const bool isChat = path == kChatPath;
    if (isChat && mRequest.getMethod() != "POST") {
      return RefuseUnread(kMethodNotAllowed, "bad-method", "use POST");
    }
    return ServeSession(isChat);
  }
  std::string body;
  if (const auto problem = ReadBody(body)) {
    return RefuseUnread(problem->mHttpStatus, problem->mReason, problem->mDetail);
  }
  if (!mConnection.BeginBusy()) {
    return RefuseUnread(kRequestTimeout, "slow-request", "the request took too long to arrive");
  }
  if (path == kTicketsPath) {
    return mRequest.getMethod() == "POST" ? ServeTicket()
                                          : Refuse(kMethodNotAllowed, "bad-method", "use POST");
  }
  return ServeGet(path);
}

bool RouteHandler::ServeGet(const std::string& aPath)
{
  const bool known = aPath == kModelsPath || aPath == "/healthz" || aPath == "/readyz" ||
                     aPath == "/metrics" || aPath == "/status";
  if (!known) {
    return Refuse(kNotFound, "unknown-path", "no such path");
  }
  if (mRequest.getMethod() != "GET" && mRequest.getMethod() != "HEAD") {
    return Refuse(kMethodNotAllowed, "bad-method", "use GET");
  }
  if (aPath == kModelsPath) {
    return ServeModels();
  }
  if (aPath == "/metrics") {
    return AnswerText(mContext.mSink.MetricsText(), "text/plain; version=0.0.4");
  }
  if (aPath == "/status") {
    return AnswerText(mContext.mSink.StatusJson(), "application/json");
  }
  const bool ready = !mContext.mLeaving && mContext.mSink.IsReady();
  if (aPath == "/readyz" && !ready) {
    return Refuse(kServiceUnavailable, "not-ready", "the instance has no bundle or is leaving");
  }
  return AnswerText("ok\n", "text/plain");
}

bool RouteHandler::ServeSession(bool aIsChat)
{
  std::string body;
  if (const auto problem = ReadBody(body)) {
    return RefuseUnread(problem->mHttpStatus, problem->mReason, problem->mDetail);
  }
  if (!mConnection.BeginBusy()) {
    return RefuseUnread(kRequestTimeout, "slow-request", "the request took too long to arrive");
  }
  const RequestParser parser({ mContext.mOptions.mDefaultTimeout, mContext.mOptions.mMaxTimeout });
  auto raw = MakeRawRequest(std::move(body));
  auto parsed = aIsChat ? parser.ParseChat(std::move(raw), mId, mClock.Now())
                        : parser.ParseService(std::move(raw), mId, mClock.Now());
  if (const auto* problem = std::get_if<ProblemReply>(&parsed)) {
    return mWriter.WriteProblem(*problem);
  }
  const auto session = std::make_shared<CallerSession>(std::move(std::get<CallerRequest>(parsed)));
  mContext.mSink.Submit(session);
  return WriteAnswer(session);
}

RawRequest RouteHandler::MakeRawRequest(std::string aBody) const
{
  RawRequest raw;
  raw.mMethod = mRequest.getMethod();
  raw.mUri = mRequest.getURI();
  raw.mHeaders.mAuthorization = mRequest.get("Authorization", "");
  raw.mHeaders.mIdempotencyKey = mRequest.get("Idempotency-Key", "");
  raw.mHeaders.mIdempotent = mRequest.get("Skylark-Idempotent", "");
  raw.mHeaders.mSession = mRequest.get("Skylark-Session", "");
  raw.mHeaders.mClass = mRequest.get("Skylark-Class", "");
  raw.mHeaders.mTimeoutMs = mRequest.get("Skylark-Timeout-Ms", "");
  raw.mHeaders.mContentType = mRequest.get("Content-Type", "");
  raw.mBody = std::move(aBody);
  return raw;
}

std::optional<ProblemReply> RouteHandler::ReadBody(std::string& aBody)
{
  const auto problem = [](int aStatus, const char* aReason, const char* aDetail) {
    return ProblemReply{ aStatus, Verdict::NotRun, aReason, aDetail, std::chrono::milliseconds(0) };
  };
  const auto maxBytes = mContext.mOptions.mMaxBodyBytes;
  const bool hasLength = mRequest.hasContentLength();
  const auto length =
    hasLength ? static_cast<std::uint64_t>(mRequest.getContentLength64()) : std::uint64_t(0);
  if (hasLength && length > maxBytes) {
    return problem(kPayloadTooLarge, "body-too-large", "the body is over the bound");
  }
  if (mRequest.getExpectContinue()) {
    mResponse.sendContinue();
  }
  if (!hasLength && !mRequest.getChunkedTransferEncoding()) {
    return std::nullopt;
  }
  auto& in = mRequest.stream();
  std::array<char, kReadBufferBytes> buf{};
  while (in.peek() != std::istream::traits_type::eof()) {
    const auto count =
      static_cast<std::size_t>(in.readsome(buf.data(), static_cast<std::streamsize>(buf.size())));
    if (aBody.size() + count > maxBytes) {
      return problem(kPayloadTooLarge, "body-too-large", "the body is over the bound");
    }
    if (!mBodyReservation.Grow(count)) {
      return problem(kServiceUnavailable,
                     "too-many-bytes",
                     "the bodies of the requests in progress have reached their total size limit");
    }
    aBody.append(buf.data(), count);
  }
  if (mConnection.IsExpired()) {
    return problem(kRequestTimeout, "slow-request", "the request took too long to arrive");
  }
  if (in.bad() || (hasLength && aBody.size() < length) || IsClosedByPeer(mRequest.socket())) {
    return problem(kBadRequest, "body-cut-off", "the body ended before it was complete");
  }
  return std::nullopt;
}

bool RouteHandler::WriteAnswer(const std::shared_ptr<CallerSession>& aSession)
{
  const auto answerDeadline = aSession->Facts().mDeadline + mContext.mOptions.mDeadlineGrace;
  MessageWriter writer(mWriter);
  while (!writer.IsDone()) {
    const auto message = aSession->Wait(kDisconnectPollPeriod);
    if (message) {
      std::visit(writer, *message);
    } else if (mClock.Now() >= answerDeadline) {
      aSession->EndWithProblem({ kGatewayTimeout,
                                 Verdict::MayHaveRun,
                                 "no-answer-in-time",
                                 "the request had no outcome by its deadline",
                                 std::chrono::milliseconds(0) });
      mContext.mSink.OnCallerDisconnected(mId);
    }
    if (writer.HasCallerLeft() || (!message && IsClosedByPeer(mRequest.socket())) ||
        aSession->HasCallerLeft()) {
      aSession->MarkCallerLeft();
      mContext.mSink.OnCallerDisconnected(mId);
      return false;
    }
  }
  return !writer.HasFailed();
}

bool RouteHandler::ServeModels()
{
  const auto reply =
    mContext.mSink.ModelsFor(RequestParser::BearerKey(mRequest.get("Authorization", "")));
  if (const auto* problem = std::get_if<ProblemReply>(&reply)) {
    return mWriter.WriteProblem(*problem);
  }
  Json::Value list(Json::objectValue);
  list["object"] = "list";
  list["data"] = Json::Value(Json::arrayValue);
  for (const auto& it : std::get<std::vector<ModelListing>>(reply)) {
    Json::Value entry(Json::objectValue);
    entry["id"] = it.mId;
    entry["object"] = "model";
    entry["owned_by"] = it.mOwner;
    list["data"].append(entry);
  }
  return AnswerText(WriteJsonText(list), "application/json");
}

bool RouteHandler::ServeTicket()
{
  const auto reply =
    mContext.mSink.IssueTicket(RequestParser::BearerKey(mRequest.get("Authorization", "")));
  if (const auto* problem = std::get_if<ProblemReply>(&reply)) {
    return mWriter.WriteProblem(*problem);
  }
  const auto& ticket = std::get<IssuedTicket>(reply);
  Json::Value document(Json::objectValue);
  document["ticket"] = ticket.mTicket;
  document["expires"] = static_cast<Json::Int64>(
    std::chrono::duration_cast<std::chrono::seconds>(ticket.mExpires.time_since_epoch()).count());
  return AnswerText(WriteJsonText(document), "application/json");
}

bool RouteHandler::AnswerText(const std::string& aText, const std::string& aContentType)
{
  AnswerHead head;
  head.mContentType = aContentType;
  return mWriter.WriteBody(head, aText);
}

bool RouteHandler::Refuse(int aStatus, std::string aReason, std::string aDetail)
{
  return mWriter.WriteProblem(
    { aStatus,
      Verdict::NotRun,
      std::move(aReason),
      std::move(aDetail),
      std::chrono::milliseconds(aStatus == kServiceUnavailable ? 1000 : 0) });
}

bool RouteHandler::RefuseUnread(int aStatus, std::string aReason, std::string aDetail)
{
  mResponse.setKeepAlive(false);
  Refuse(aStatus, std::move(aReason), std::move(aDetail));
  return false;
}

} // namespace skylarkchute
