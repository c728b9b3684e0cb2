#pragma once

#include "ClientConnection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace skylarkchute {

/** A whole answer to a call, or none: then the call may have been carried out, or may be later. */
struct CallResult
{
  bool mHasAnswer = false;
  unsigned mStatus = 0;
  std::string mBody;
};

/** Makes calls to the store or another instance, one after the other over one kept connection. */
class HttpCall final
  : public AnswerListener
  , public std::enable_shared_from_this<HttpCall>
{
public:
  using Done = std::function<void(const CallResult&)>;

  HttpCall(boost::asio::io_context& aContext, std::string aAddress);

  /** Makes a call; an earlier one that is under way is given up.
      @param aTimeout  until the call counts as unanswered */
  void Start(const std::string& aMethod,
             const std::string& aTarget,
             std::string aBody,
             std::chrono::milliseconds aTimeout,
             Done aDone);

  /** Gives up the call under way; its callback is not called. */
  void Cancel();

  bool IsBusy() const { return mDone != nullptr; }

  HeadChoice OnHead(const AnswerReader& aReader) override;
  void OnBody(std::string aBytes) override;
  void OnDone(bool aReusable) override;
  void OnLost(ConnectionLoss aLoss) override;

private:
  void DropConnection();
  void Finish(bool aHasAnswer);

  boost::asio::io_context& mContext;
  std::string mAddress;
  boost::asio::steady_timer mTimer;
  std::shared_ptr<ClientConnection> mConnection;
  CallResult mResult;
  Done mDone;
};

} // namespace skylarkchute
