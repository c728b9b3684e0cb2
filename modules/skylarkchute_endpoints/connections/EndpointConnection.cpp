#include "EndpointConnection.h"

#include <Poco/Ascii.h>
#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <string_view>

namespace skylarkchute {

namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024;

Poco::Timespan ToTimespan(std::chrono::milliseconds aTime)
{
  const auto time = std::max(aTime, std::chrono::milliseconds(1));
  return { static_cast<Poco::Timespan::TimeDiff>(
    std::chrono::duration_cast<std::chrono::microseconds>(time).count()) };
}

/** Returns whether a field's name is a token (RFC 9110, 5.6.2). */
bool IsFieldName(const std::string& aName)
{
  constexpr std::string_view kOtherTokenCharacters = "!#$%&'*+-.^_`|~";
  return !aName.empty() && std::all_of(aName.begin(), aName.end(), [&](char aCharacter) {
    return Poco::Ascii::isAlphaNumeric(aCharacter) ||
           kOtherTokenCharacters.find(aCharacter) != std::string_view::npos;
  });
}

/** Returns whether a response has the status of an answer and proper field names, which Poco does
   not check. Other heads may hide the framing of the body. */
bool IsValidHead(const Poco::Net::HTTPResponse& aResponse)
{
  constexpr int kFirstFinalStatus = 200;
  constexpr int kLastStatus = 599;
  const auto status = static_cast<int>(aResponse.getStatus());
  return status >= kFirstFinalStatus && status <= kLastStatus &&
         std::all_of(aResponse.begin(), aResponse.end(), [](const auto& aField) {
           return IsFieldName(aField.first);
         });
}

} // namespace

EndpointConnection::EndpointConnection(const std::string& aAddress, std::uint16_t aPort)
  : mAddress(aAddress)
  , mPort(aPort)
{
}

void EndpointConnection::Connect(std::chrono::milliseconds aTimeout)
{
  assert(!mSession);
  mSocket.connect(Poco::Net::SocketAddress(mAddress, mPort), ToTimespan(aTimeout));
  mSocket.setNoDelay(true);
  const std::lock_guard lock(mMutex);
  if (mShutDown) {
    throw Poco::Net::ConnectionAbortedException("shut down while connecting");
  }
  mSession = std::make_unique<Poco::Net::HTTPClientSession>(mSocket);
  mSession->setKeepAlive(false);
}

void EndpointConnection::Send(Poco::Net::HTTPRequest& aRequest,
                              const std::string& aBody,
                              std::chrono::milliseconds aTimeout)
{
  assert(mSession);
  mSocket.setSendTimeout(ToTimespan(aTimeout));
  aRequest.setHost(mAddress, mPort);
  aRequest.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
  // With keep-alive, a chunked body is complete if the connection is still open after its last
  // chunk.
  aRequest.setKeepAlive(true);
  auto& out = mSession->sendRequest(aRequest);
  out << aBody << std::flush;
  if (!out) {
    throw Poco::Net::ConnectionAbortedException("the request could not be sent completely");
  }
}

void EndpointConnection::ReceiveHead(std::chrono::milliseconds aTimeout)
{
  assert(mSession);
  mSocket.setReceiveTimeout(ToTimespan(aTimeout));
  mBody = &mSession->receiveResponse(mResponse);
  if (!IsValidHead(mResponse)) {
    throw Poco::Net::MessageException("the response head is not valid");
  }
  mBodyBytes = 0;
}

ReadStatus EndpointConnection::ReadSome(std::string& aBytes, std::chrono::milliseconds aTimeout)
{
  assert(mBody);
  try {
    mSocket.setReceiveTimeout(ToTimespan(aTimeout));
    if (mBody->peek() == std::istream::traits_type::eof()) {
      return StatusAtBodyEnd();
    }
    std::array<char, kReadBufferBytes> buf{};
    const auto count = mBody->readsome(buf.data(), buf.size());
    aBytes.append(buf.data(), static_cast<std::size_t>(count));
    mBodyBytes += static_cast<std::uint64_t>(count);
    return ReadStatus::Data;
  } catch (const Poco::TimeoutException&) {
    return ReadStatus::TimedOut;
  } catch (const Poco::Exception&) {
    return ReadStatus::Broken;
  }
}

ReadStatus EndpointConnection::StatusAtBodyEnd() const
{
  const auto* failure = mSession->networkException();
  if (dynamic_cast<const Poco::TimeoutException*>(failure) != nullptr) {
    return ReadStatus::TimedOut;
  }
  if (failure != nullptr || mBody->bad()) {
    return ReadStatus::Broken;
  }
  if (mResponse.hasContentLength()) {
    const auto expected = static_cast<std::uint64_t>(mResponse.getContentLength64());
    return mBodyBytes == expected ? ReadStatus::Complete : ReadStatus::Broken;
  }
  // Without a Content-Length, a closed connection is indistinguishable from a truncated body.
  return IsClosedByPeer() ? ReadStatus::Broken : ReadStatus::Complete;
}

bool EndpointConnection::IsClosedByPeer() const
{
  if (!mResponse.getChunkedTransferEncoding()) {
    return true;
  }
  return mSocket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

void EndpointConnection::Shutdown()
{
  const std::lock_guard lock(mMutex);
  mShutDown = true;
  if (!mSession) {
    return;
  }
  try {
    mSocket.shutdown();
  } catch (const Poco::Exception&) {
    // The peer has already closed the connection.
  }
}

} // namespace skylarkchute
