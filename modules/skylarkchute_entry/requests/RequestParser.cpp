#include "RequestParser.h"

#include "ChatBody.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <optional>

namespace skylarkchute {

namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kBearerPrefix = "bearer ";
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr std::size_t kMaxSessionBytes = 1024;
constexpr std::size_t kMaxApiKeyBytes = 512;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

ProblemReply Refusal(int aStatus, std::string aReason, std::string aDetail)
{
  return {
    aStatus, Verdict::NotRun, std::move(aReason), std::move(aDetail), std::chrono::milliseconds(0)
  };
}

bool IsName(std::string_view aText)
{
  const auto isNameByte = [](char aByte) {
    return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
           (aByte >= '0' && aByte <= '9') || aByte == '-' || aByte == '_' || aByte == '.';
  };
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), isNameByte);
}

bool IsVisibleText(std::string_view aText, std::size_t aMaxBytes)
{
  const auto isVisible = [](char aByte) { return aByte > ' ' && aByte <= '~'; };
  return aText.size() <= aMaxBytes && std::all_of(aText.begin(), aText.end(), isVisible);
}

/** An empty text, as of an absent header, means true. */
std::optional<bool> ParseBool(std::string_view aText)
{
  if (aText.empty() || aText == "true") {
    return true;
  }
  if (aText == "false") {
    return false;
  }
  return std::nullopt;
}

std::optional<std::chrono::milliseconds> ParseMilliseconds(std::string_view aText)
{
  std::int64_t count = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, count);
  if (result.ec != std::errc() || result.ptr != end || count <= 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(count);
}

bool IsServiceMethod(std::string_view aMethod)
{
  constexpr std::string_view kMethods[] = { "GET",   "HEAD",   "POST",   "PUT",
                                            "PATCH", "DELETE", "OPTIONS" };
  return std::find(std::begin(kMethods), std::end(kMethods), aMethod) != std::end(kMethods);
}

bool IsUnsafePath(std::string_view aPath)
{
  const auto path = aPath.substr(0, aPath.find('?'));
  const bool visible = IsVisibleText(aPath, aPath.size());
  return !visible || path.find("/../") != path.npos || path.find("/./") != path.npos ||
         path.ends_with("/..") || path.ends_with("/.") || path.find("%2e") != path.npos ||
         path.find("%2E") != path.npos;
}

void SetRequestedModel(const std::string& aModel, RequestFacts& aFacts)
{
  if (aModel.empty() || aModel == "auto") {
    return;
  }
  if (aModel.find('/') != std::string::npos) {
    aFacts.mVersion = VersionId(aModel);
  } else {
    aFacts.mModel = ModelName(aModel);
  }
}

} // namespace

RequestParser::RequestParser(Options aOptions) : mOptions(aOptions)
{
  assert(mOptions.mDefaultTimeout.count() > 0);
}

std::string RequestParser::BearerKey(const std::string& aAuthorization)
{
  const auto lower = [](char aByte) {
    return aByte >= 'A' && aByte <= 'Z' ? static_cast<char>(aByte - 'A' + 'a') : aByte;
  };
  const auto isSame = [&](char aLeft, char aRight) { return lower(aLeft) == aRight; };
  if (aAuthorization.size() <= kBearerPrefix.size() ||
      !std::equal(
        kBearerPrefix.begin(), kBearerPrefix.end(), aAuthorization.begin(), [&](char aR, char aL) {
          return isSame(aL, aR);
        })) {
    return "";
  }
  auto key = aAuthorization.substr(kBearerPrefix.size());
  return IsVisibleText(key, kMaxApiKeyBytes) ? key : "";
}

std::variant<RequestFacts, ProblemReply> RequestParser::ParseHeaders(const CallerHeaders& aHeaders,
                                                                     const RequestId& aId,
                                                                     TimePoint aNow) const
{
  RequestFacts facts;
  facts.mId = aId;
  facts.mApiKey = BearerKey(aHeaders.mAuthorization);
  if (facts.mApiKey.empty()) {
    return Refusal(kUnauthorized, "missing-key", "send Authorization: Bearer KEY");
  }
  const auto idempotent = ParseBool(aHeaders.mIdempotent);
  if (!idempotent) {
    return Refusal(kBadRequest, "bad-idempotent", "Skylark-Idempotent must be true or false");
  }
  facts.mDeclaredNonIdempotent = !*idempotent;
  if (!IsVisibleText(aHeaders.mIdempotencyKey, kMaxIdempotencyKeyBytes)) {
    return Refusal(
      kBadRequest, "bad-idempotency-key", "Idempotency-Key must be 1 to 255 visible characters");
  }
  facts.mHasCallerKey = !aHeaders.mIdempotencyKey.empty();
  if (facts.mDeclaredNonIdempotent && !facts.mHasCallerKey) {
    return Refusal(
      kBadRequest, "missing-idempotency-key", "a non-idempotent request needs Idempotency-Key");
  }
  facts.mKey = RequestKey(facts.mHasCallerKey ? aHeaders.mIdempotencyKey : aId.Value());
  if (!IsVisibleText(aHeaders.mSession, kMaxSessionBytes)) {
    return Refusal(
      kBadRequest, "bad-session", "Skylark-Session must be at most 1024 visible characters");
  }
  if (!aHeaders.mClass.empty() && !IsName(aHeaders.mClass)) {
    return Refusal(kBadRequest, "bad-class", "Skylark-Class is not a class name");
  }
  facts.mClass = ClassName(aHeaders.mClass);
  auto timeout = mOptions.mDefaultTimeout;
  if (!aHeaders.mTimeoutMs.empty()) {
    const auto requested = ParseMilliseconds(aHeaders.mTimeoutMs);
    if (!requested) {
      return Refusal(
        kBadRequest, "bad-timeout", "Skylark-Timeout-Ms must be a whole number above zero");
    }
    timeout = std::min(*requested, mOptions.mMaxTimeout);
  }
  facts.mDeadline = aNow + timeout;
  return facts;
}

ParsedRequest RequestParser::ParseChat(RawRequest aRaw, const RequestId& aId, TimePoint aNow) const
{
  auto headers = ParseHeaders(aRaw.mHeaders, aId, aNow);
  if (auto* problem = std::get_if<ProblemReply>(&headers)) {
    return std::move(*problem);
  }
  const auto body = ReadChatBody(aRaw.mBody);
  if (!body.mError.empty()) {
    return Refusal(kBadRequest, "bad-body", body.mError);
  }
  CallerRequest request;
  request.mFacts = std::move(std::get<RequestFacts>(headers));
  request.mFacts.mStream = body.mStream;
  request.mFacts.mPrefixHash = body.mPrefixHash;
  request.mFacts.mFingerprint = Fingerprint(body.mFingerprint);
  request.mFacts.mPromptTokens = body.mPromptTokens;
  request.mFacts.mMaxTokens = body.mMaxTokens;
  SetRequestedModel(body.mModel, request.mFacts);
  request.mMethod = "POST";
  request.mEndpointPath = "/v1/chat/completions";
  request.mContentType = "application/json";
  request.mBody = std::move(aRaw.mBody);
  request.mSession = std::move(aRaw.mHeaders.mSession);
  request.mModel = body.mModel;
  return request;
}

ParsedRequest RequestParser::ParseService(RawRequest aRaw,
                                          const RequestId& aId,
                                          TimePoint aNow) const
{
  assert(aRaw.mUri.starts_with(kServicesPrefix));
  auto headers = ParseHeaders(aRaw.mHeaders, aId, aNow);
  if (auto* problem = std::get_if<ProblemReply>(&headers)) {
    return std::move(*problem);
  }
  if (!IsServiceMethod(aRaw.mMethod)) {
    return Refusal(kMethodNotAllowed, "bad-method", "the method is not supported for services");
  }
  const auto rest = aRaw.mUri.substr(kServicesPrefix.size());
  const auto nameEnd = std::min(rest.find_first_of("/?"), rest.size());
  const auto name = rest.substr(0, nameEnd);
  if (!IsName(name)) {
    return Refusal(kNotFound, "unknown-service", "the path contains no valid service name");
  }
  auto path = rest.substr(nameEnd);
  if (path.empty() || path.front() != '/') {
    path.insert(0, "/");
  }
  if (IsUnsafePath(path)) {
    return Refusal(
      kBadRequest, "bad-path", "the path must not contain dot segments or invisible characters");
  }
  CallerRequest request;
  request.mFacts = std::move(std::get<RequestFacts>(headers));
  request.mFacts.mService = ServiceName(name);
  request.mFacts.mFingerprint =
    Fingerprint(Sha256Hex(aRaw.mMethod + "\n" + aRaw.mUri + "\n" + aRaw.mBody));
  request.mMethod = std::move(aRaw.mMethod);
  request.mEndpointPath = std::move(path);
  request.mContentType = std::move(aRaw.mHeaders.mContentType);
  request.mBody = std::move(aRaw.mBody);
  request.mSession = std::move(aRaw.mHeaders.mSession);
  return request;
}

} // namespace skylarkchute
