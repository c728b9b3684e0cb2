#pragma once

#include "ClientConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace skylarkchute {

/** Result of a call. A body of more than 8 MiB is no response. Without a response, the server may
   have executed the call or may still do so. */
struct CallResult
{
  bool mHasResponse = false;
  unsigned mStatus = 0;
  std::string mBody;
  std::optional<std::uint64_t> mStoreEra; /**< Named by an answer of the store. */
  /** The call was made on a connection that an earlier one had left open. Without a response, the
      connection may have been lost long before. */
  bool mUsedKeptConnection = false;
};

/** Makes HTTP calls to the store or to another instance, one at a time over a keep-alive
    connection. */
class HttpCall final
  : public ResponseListener
  , public std::enable_shared_from_this<HttpCall>
{
public:
  using Done = std::function<void(const CallResult&)>;

  HttpCall(boost::asio::io_context& aContext, std::string aAddress);

  /** Starts a call and cancels one that is still in progress.
      @param aTimeout  limit for the complete response, including the connect
      @param aDone     called with the result, unless the call is cancelled */
  void Start(const std::string& aMethod,
             const std::string& aTarget,
             std::string aBody,
             std::chrono::milliseconds aTimeout,
             Done aDone);

  /** Cancels the call in progress, if any, without calling its callback. */
  void Cancel();

  /** Closes the connection if no call is in progress, so that the next one opens a new one. */
  void DropIdleConnection();

  bool IsBusy() const { return mDone != nullptr; }

  HeadChoice OnHead(const ResponseReader& aReader) override;
  void OnBody(std::string aBytes) override;
  void OnDone(bool aReusable) override;
  void OnConnectionFailed(ConnectionFailure aFailure) override;

private:
  void DropConnection();
  void Finish(bool aHasResponse);

  boost::asio::io_context& mContext;
  std::string mAddress;
  boost::asio::steady_timer mTimer;
  std::shared_ptr<ClientConnection> mConnection;
  CallResult mResult;
  Done mDone;
};

} // namespace skylarkchute
