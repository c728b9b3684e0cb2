#include "HttpCall.h"

#include "SocketOptions.h"

#include <platform/StoreCodec.h>

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{ 600 };

constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;

} // namespace

HttpCall::HttpCall(boost::asio::io_context& aContext, std::string aAddress)
  : mContext(aContext)
  , mAddress(std::move(aAddress))
  , mTimer(aContext)
{
}

void HttpCall::Start(const std::string& aMethod,
                     const std::string& aTarget,
                     std::string aBody,
                     std::chrono::milliseconds aTimeout,
                     Done aDone)
{
  Cancel();
  mDone = std::move(aDone);
  mResult = CallResult{};
  const auto address = ParseSocketAddress(mAddress);
  mTimer.expires_after(address ? aTimeout : std::chrono::milliseconds(0));
  mTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError && self->mDone) {
      self->DropConnection();
      self->Finish(false);
    }
  });
  if (!address) {
    return;
  }
  mResult.mUsedKeptConnection = mConnection && mConnection->IsIdle();
  if (!mResult.mUsedKeptConnection) {
    mConnection = std::make_shared<ClientConnection>(mContext, kConnectTimeout);
  }
  std::string head = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + mAddress + "\r\n";
  if (!aBody.empty()) {
    head += "Content-Type: application/json\r\n";
  }
  if (!aBody.empty() || aMethod != "GET") {
    head += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  head += "\r\n";
  mConnection->Send(*address,
                    std::move(head),
                    std::make_shared<const std::string>(std::move(aBody)),
                    shared_from_this());
}

void HttpCall::Cancel()
{
  if (!mDone) {
    return;
  }
  mDone = nullptr;
  mTimer.cancel();
  DropConnection();
}

void HttpCall::DropIdleConnection()
{
  if (!mDone) {
    DropConnection();
  }
}

/** Closes the connection, so that a late response is not taken for that of a later call. */
void HttpCall::DropConnection()
{
  if (mConnection) {
    mConnection->Close();
    mConnection.reset();
  }
}

HeadChoice HttpCall::OnHead(const ResponseReader& aReader)
{
  mResult.mStatus = aReader.Status();
  mResult.mStoreEra = DecodeStoreEra(aReader.Fields());
  return HeadChoice::Accept;
}

void HttpCall::OnBody(std::string aBytes)
{
  if (mResult.mBody.size() + aBytes.size() > kMaxBodyBytes) {
    DropConnection();
    Finish(false);
    return;
  }
  mResult.mBody.append(aBytes);
}

void HttpCall::OnDone(bool aReusable)
{
  if (!aReusable) {
    mConnection.reset();
  } else {
    mConnection->WatchIdle([] {});
  }
  Finish(true);
}

void HttpCall::OnConnectionFailed(ConnectionFailure /*aFailure*/)
{
  mConnection.reset();
  Finish(false);
}

void HttpCall::Finish(bool aHasResponse)
{
  if (!mDone) {
    return;
  }
  mTimer.cancel();
  mResult.mHasResponse = aHasResponse;
  const auto done = std::move(mDone);
  mDone = nullptr;
  const auto result = std::move(mResult);
  done(result);
}

} // namespace skylarkchute
