#include "HttpConnection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <utility>

namespace skylarkchute::soak {

namespace {

constexpr int kConnectTimeoutSeconds = 1;
constexpr std::size_t kReceiveSize = 16384;
constexpr std::size_t kMaxLine = 16384;
constexpr const char* kLineEnd = "\r\n";
constexpr int kHexadecimal = 16;

std::string Lowercase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

} // namespace

std::string HttpAnswer::Header(const std::string& aName) const
{
  const auto found = mHeaders.find(aName);
  return found == mHeaders.end() ? "" : found->second;
}

HttpConnection::HttpConnection(std::uint16_t aPort)
{
  mSocket.connect(Poco::Net::SocketAddress("127.0.0.1", aPort),
                  Poco::Timespan(kConnectTimeoutSeconds, 0));
  mSocket.setNoDelay(true);
}

bool HttpConnection::Send(const std::string& aRequest)
{
  try {
    std::size_t sent = 0;
    while (sent < aRequest.size()) {
      const auto count =
        mSocket.sendBytes(aRequest.data() + sent, static_cast<int>(aRequest.size() - sent));
      if (count <= 0) {
        break;
      }
      sent += static_cast<std::size_t>(count);
    }
    mIsOpen = sent == aRequest.size();
  } catch (const Poco::Exception&) {
    mIsOpen = false; // The caller sees a failed connection.
  }
  return mIsOpen;
}

bool HttpConnection::HasStrayBytes()
{
  if (!mBuffer.empty()) {
    return true;
  }
  return FillBuffer(std::chrono::steady_clock::now());
}

/** Waits for bytes and appends them to the buffer. @returns false at the end, after a failure or at
    @p aUntil */
bool HttpConnection::FillBuffer(TimePoint aUntil)
{
  try {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
      aUntil - std::chrono::steady_clock::now());
    const Poco::Timespan wait(std::max<std::int64_t>(left.count(), 0));
    if (!mSocket.poll(wait, Poco::Net::Socket::SELECT_READ)) {
      return false;
    }
    char bytes[kReceiveSize];
    const auto count = mSocket.receiveBytes(bytes, sizeof bytes);
    if (count <= 0) {
      mHasEnded = true;
      mIsOpen = false;
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  } catch (const Poco::Exception&) {
    mIsOpen = false; // Reset by the peer.
    return false;
  }
}

std::optional<std::string> HttpConnection::ReadLine(TimePoint aUntil)
{
  while (true) {
    if (const auto end = mBuffer.find(kLineEnd); end != std::string::npos) {
      auto line = mBuffer.substr(0, end);
      mBuffer.erase(0, end + 2);
      return line;
    }
    if (mBuffer.size() > kMaxLine || !FillBuffer(aUntil)) {
      return std::nullopt;
    }
  }
}

bool HttpConnection::ReadBytes(std::size_t aCount, std::string& aOut, TimePoint aUntil)
{
  while (mBuffer.size() < aCount && FillBuffer(aUntil)) {
  }
  const auto count = std::min(aCount, mBuffer.size());
  aOut.append(mBuffer, 0, count);
  mBuffer.erase(0, count);
  return count == aCount;
}

bool HttpConnection::ReadHead(HttpAnswer& aAnswer, TimePoint aUntil)
{
  const auto start = ReadLine(aUntil);
  if (!start || !start->starts_with("HTTP/1.1 ")) {
    return false;
  }
  const auto status = std::atoi(start->c_str() + std::string("HTTP/1.1 ").size());
  while (const auto line = ReadLine(aUntil)) {
    if (line->empty()) {
      aAnswer.mStatus = status;
      return true;
    }
    const auto colon = line->find(':');
    if (colon == std::string::npos) {
      return false;
    }
    const auto value = line->find_first_not_of(' ', colon + 1);
    aAnswer.mHeaders[Lowercase(line->substr(0, colon))] =
      value == std::string::npos ? "" : line->substr(value);
  }
  return false;
}

bool HttpConnection::ReadChunks(HttpAnswer& aAnswer, TimePoint aUntil, std::size_t aGiveUpAfter)
{
  while (aGiveUpAfter == 0 || aAnswer.mBody.size() < aGiveUpAfter) {
    const auto line = ReadLine(aUntil);
    if (!line || line->empty()) {
      return false;
    }
    const auto size = std::strtoull(line->c_str(), nullptr, kHexadecimal);
    if (size == 0) {
      return ReadLine(aUntil).has_value();
    }
    std::string end;
    if (!ReadBytes(size, aAnswer.mBody, aUntil) || !ReadBytes(2, end, aUntil) || end != kLineEnd) {
      return false;
    }
  }
  return false;
}

HttpAnswer HttpConnection::Receive(TimePoint aUntil, std::size_t aGiveUpAfter)
{
  HttpAnswer answer;
  if (!mBuffer.empty() || FillBuffer(aUntil)) {
    answer.mFirstByte = std::chrono::steady_clock::now();
  }
  if (!ReadHead(answer, aUntil)) {
    mIsOpen = false;
    return answer;
  }
  const auto length = answer.Header("content-length");
  if (Lowercase(answer.Header("transfer-encoding")) == "chunked") {
    answer.mIsComplete = ReadChunks(answer, aUntil, aGiveUpAfter);
  } else if (!length.empty()) {
    answer.mIsComplete =
      ReadBytes(std::strtoull(length.c_str(), nullptr, 10), answer.mBody, aUntil);
  } else {
    while (FillBuffer(aUntil)) {
    }
    answer.mBody = std::exchange(mBuffer, {});
    answer.mIsComplete = mHasEnded;
  }
  mIsOpen = mIsOpen && answer.mIsComplete && Lowercase(answer.Header("connection")) != "close";
  return answer;
}

HttpAnswer CallOnce(std::uint16_t aPort,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aBody,
                    std::chrono::milliseconds aTimeout)
{
  const auto until = std::chrono::steady_clock::now() + aTimeout;
  try {
    HttpConnection connection(aPort);
    const auto request = aMethod + " " + aTarget +
                         " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\nContent-Length: " +
                         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    return connection.Send(request) ? connection.Receive(until) : HttpAnswer{};
  } catch (const Poco::Exception&) {
    return {}; // Status 0 tells the caller.
  }
}

} // namespace skylarkchute::soak
