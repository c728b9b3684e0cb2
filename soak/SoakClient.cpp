#include "SoakClient.h"

#include <Poco/Exception.h>

#include <utility>

namespace skylarkchute::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStreamDeadline{ 9000 };
constexpr milliseconds kOrderDeadline{ 3000 };

/** How long a client waits beyond its deadline, so that a late answer is seen as late. */
constexpr milliseconds kPatience{ 1500 };

constexpr milliseconds kRefusalPause{ 200 };
constexpr milliseconds kIdlePause{ 100 };

/** Body bytes after which a client gives up a stream. */
constexpr std::size_t kGiveUpBytes = 60;

/** Of a hundred requests. */
constexpr std::uint64_t kProbes = 15;
constexpr std::uint64_t kStreams = 40;
constexpr std::uint64_t kOrders = 25;
constexpr std::uint64_t kGivenUpStreams = 5;
constexpr std::uint64_t kUnknownKeys = 3;

/** Returns the shared prompt part of a request: one of sixteen, by the end of its id. */
std::string SubjectOf(const Exchange& aExchange)
{
  return std::string("5a1") + aExchange.mId.back();
}

std::string HeadOf(const Exchange& aExchange)
{
  const bool hasBody = !aExchange.mBody.empty();
  std::string head = (hasBody ? "POST " : "GET ") + aExchange.mPath + " HTTP/1.1\r\n";
  head += "Host: soak.example\r\nSkylarkchute-Request-Id: " + aExchange.mId + "\r\n";
  head += "Skylarkchute-Deadline-Ms: " + std::to_string(aExchange.mDeadline.count()) + "\r\n";
  head += "Skylarkchute-Credential: ";
  head += aExchange.mHasUnknownKey ? "key-of-nobody\r\n" : "soak-key\r\n";
  if (aExchange.mKind == RequestKind::Stream) {
    const auto shared = aExchange.mPart.empty() ? SubjectOf(aExchange) : aExchange.mPart;
    head += "Skylarkchute-Model: small\r\nSkylarkchute-Token-Counts: 40,8\r\n";
    head += "Skylarkchute-Prompt-Prefix: " + shared + ":20," +
            (aExchange.mPart.empty() ? aExchange.mId : "ab") + ":20\r\n";
  }
  if (hasBody) {
    head += "Content-Length: " + std::to_string(aExchange.mBody.size()) + "\r\n";
  }
  return head + "\r\n";
}

} // namespace

SoakClient::SoakClient(const Fleet& aFleet, std::uint64_t aSeed, int aNumber, bool aSendsCrashes)
  : mFleet(aFleet)
  , mNumber(aNumber)
  , mSendsCrashes(aSendsCrashes)
  , mRandom(aSeed + static_cast<std::uint64_t>(aNumber))
  , mThread([this] { Run(); })
{
}

SoakClient::~SoakClient()
{
  mIsStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::vector<Exchange> SoakClient::Join()
{
  mThread.join();
  return std::move(mExchanges);
}

void SoakClient::Run()
{
  while (!mIsStopping) {
    if (mSendsCrashes && mFleet.CrashingPart().empty()) {
      std::this_thread::sleep_for(kIdlePause);
      continue;
    }
    auto exchange = NextExchange();
    Send(exchange);
    const auto pause = PauseAfter(exchange);
    mExchanges.push_back(std::move(exchange));
    ++mCount;
    std::this_thread::sleep_for(pause);
  }
  mConnection.reset();
}

/** Draws the next request. Its id is hexadecimal, as it names its last prompt part as well. */
Exchange SoakClient::NextExchange()
{
  char id[17];
  std::snprintf(id, sizeof id, "%04x%08x", mNumber, ++mSerial);
  Exchange exchange;
  exchange.mId = id;
  exchange.mDeadline = kOrderDeadline;
  const auto draw = mRandom() % 100;
  if (mSendsCrashes) {
    exchange.mKind = RequestKind::Stream;
    exchange.mPart = mFleet.CrashingPart();
    exchange.mPath = "/notes/crash";
    exchange.mBody = "crash";
    exchange.mDeadline = kStreamDeadline;
  } else if (draw < kProbes) {
    exchange.mKind = RequestKind::Probe;
    exchange.mVersion = mFleet.Version() - static_cast<int>(mRandom() % 4 == 0);
    exchange.mPath = "/v" + std::to_string(exchange.mVersion) + "/" + exchange.mId;
  } else if (draw < kProbes + kStreams) {
    exchange.mKind = RequestKind::Stream;
    exchange.mPath = "/notes/" + exchange.mId;
    exchange.mBody = "note " + exchange.mId;
    exchange.mDeadline = kStreamDeadline;
    exchange.mIsGivenUp = mRandom() % 100 < kGivenUpStreams;
  } else if (draw < kProbes + kStreams + kOrders) {
    exchange.mKind = RequestKind::Order;
    exchange.mPath = "/orders/" + exchange.mId;
    exchange.mBody = "order " + exchange.mId;
  } else {
    exchange.mPath = "/boxes/" + exchange.mId;
    exchange.mHasUnknownKey = draw >= 100 - kUnknownKeys;
  }
  return exchange;
}

/** Makes a connection to a ready relay, unless there is one. @returns whether there is one */
bool SoakClient::Connect(Exchange& aExchange)
{
  if (mConnection && !mConnection->IsOpen()) {
    mConnection.reset();
  }
  if (mConnection) {
    aExchange.mHasStrayBytes = mConnection->HasStrayBytes();
    if (mConnection->IsOpen()) {
      return true;
    }
  }
  const auto relays = mFleet.ReadyRelays();
  const auto& relay = relays[mRandom() % relays.size()];
  mRelay = relay.mName;
  try {
    mConnection.emplace(relay.mPort);
    return true;
  } catch (const Poco::Exception&) {
    mConnection.reset(); // The exchange ends as not sent.
    return false;
  }
}

void SoakClient::Send(Exchange& aExchange)
{
  aExchange.mStart = Clock::now();
  const bool isConnected = Connect(aExchange);
  aExchange.mRelay = mRelay;
  const bool givesUp = std::exchange(aExchange.mIsGivenUp, false);
  if (isConnected && mConnection->Send(HeadOf(aExchange) + aExchange.mBody)) {
    aExchange.mSent = Clock::now();
    const auto until = aExchange.mStart + aExchange.mDeadline + kPatience;
    const auto answer = mConnection->Receive(until, givesUp ? kGiveUpBytes : 0);
    aExchange.mFirstByte = answer.mFirstByte;
    aExchange.mStatus = answer.mStatus;
    aExchange.mIsComplete = answer.mIsComplete;
    aExchange.mHasSeal = !answer.Header("skylarkchute-response-seal").empty();
    aExchange.mAnswerId = answer.Header("skylarkchute-request-id");
    aExchange.mAnswer = answer.mBody;
    aExchange.mIsGivenUp = givesUp && !answer.mIsComplete && answer.mBody.size() >= kGiveUpBytes;
  }
  if (mConnection && !mConnection->IsOpen()) {
    mConnection.reset();
  }
  aExchange.mEnd = Clock::now();
}

milliseconds SoakClient::PauseAfter(const Exchange& aExchange)
{
  const auto pause = milliseconds(10 + mRandom() % 60);
  return aExchange.mStatus == 200 ? pause : pause + kRefusalPause;
}

} // namespace skylarkchute::soak
