#include "CallerServer.h"

namespace skylarkchute {

namespace {

constexpr int kBacklog = 1024;

/** Delay before the next accept after a failed one, such as when no file descriptors are left. */
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };

} // namespace

CallerServer::CallerServer(RelayContext& aContext,
                           RequestOrigin aOrigin,
                           std::shared_ptr<CallerGuard> aGuard)
  : mContext(aContext)
  , mOrigin(aOrigin)
  , mGuard(std::move(aGuard))
  , mAcceptor(aContext.mLoop)
  , mRetryTimer(aContext.mLoop)
{
}

bool CallerServer::Listen(const boost::asio::ip::tcp::endpoint& aAddress)
{
  boost::system::error_code ec;
  mAcceptor.open(aAddress.protocol(), ec);
  mAcceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
  mAcceptor.bind(aAddress, ec);
  if (!ec) {
    mAcceptor.listen(kBacklog, ec);
  }
  if (ec) {
    return false;
  }
  Accept();
  return true;
}

void CallerServer::Accept()
{
  mAcceptor.async_accept(
    [this](const boost::system::error_code& aError, boost::asio::ip::tcp::socket aSocket) {
      // The server may no longer exist.
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        mRetryTimer.expires_after(kAcceptRetryDelay);
        mRetryTimer.async_wait([this](const boost::system::error_code& aCancelled) {
          if (!aCancelled && mAcceptor.is_open()) {
            Accept();
          }
        });
        return;
      }
      // A connection may have been accepted just before the listening socket was closed.
      if (mAcceptor.is_open()) {
        Accept();
      }
      StartConnection(std::move(aSocket));
    });
}

void CallerServer::StartConnection(boost::asio::ip::tcp::socket aSocket)
{
  if (!mGuard->mBudget.MayConnect(std::chrono::steady_clock::now())) {
    boost::system::error_code ec;
    aSocket.close(ec);
    return;
  }
  const auto connection = std::make_shared<CallerConnection>(
    mContext, std::move(aSocket), mOrigin, mGuard, [this](CallerConnection* aClosed) {
      mConnections.erase(aClosed);
    });
  mConnections.emplace(connection.get(), connection);
  connection->Start();
}

void CallerServer::StopAccepting()
{
  boost::system::error_code ec;
  // Closing the listening socket resets the connections in its queue.
  mAcceptor.non_blocking(true, ec);
  for (int n = 0; n < kBacklog && !ec; ++n) {
    auto socket = mAcceptor.accept(ec);
    if (!ec) {
      StartConnection(std::move(socket));
    }
  }
  mAcceptor.close(ec);
  mRetryTimer.cancel();
}

void CallerServer::RefuseUnread()
{
  const auto connections = mConnections;
  for (const auto& [connection, owner] : connections) {
    owner->RefuseUnread();
  }
}

std::size_t CallerServer::EndRequests()
{
  std::size_t count = 0;
  const auto connections = mConnections;
  for (const auto& [connection, owner] : connections) {
    count += owner->EndRequest() ? 1 : 0;
  }
  return count;
}

bool CallerServer::IsBusy() const
{
  for (const auto& [connection, owner] : mConnections) {
    if (owner->IsBusy()) {
      return true;
    }
  }
  return false;
}

} // namespace skylarkchute
