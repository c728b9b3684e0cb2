#pragma once

#include "../RequestSink.h"
#include "../requests/RequestParser.h"
#include "BodyBudget.h"
#include "ConnectionRegistry.h"
#include "EntryOptions.h"
#include "ReplyWriter.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <optional>

namespace skylarkchute {

/** What every connection of one entry shares. */
struct EntryContext
{
  const EntryOptions& mOptions;
  RequestSink& mSink;
  BodyBudget& mBodies;
  std::atomic<bool>& mLeaving;
};

/** Serves one HTTP request of a caller from its headers to the last byte of its answer. */
class RouteHandler
{
public:
  /** @param aConnection  entry of the connection that the request came over */
  RouteHandler(EntryContext aContext,
               ConnectionRegistry::Entry& aConnection,
               Poco::Net::HTTPServerRequestImpl& aRequest,
               Poco::Net::HTTPServerResponse& aResponse);

  /** Serves the request; returns when its answer is written or its caller has left.
      @returns whether the connection may carry another request */
  bool Serve();

private:
  bool ServeRequest();
  bool ServeGet(const std::string& aPath);
  bool ServeSession(bool aIsChat);
  bool ServeModels();
  bool ServeTicket();
  bool Refuse(int aStatus, std::string aReason, std::string aDetail);
  bool RefuseUnread(int aStatus, std::string aReason, std::string aDetail);
  bool AnswerText(const std::string& aText, const std::string& aContentType);
  std::optional<ProblemReply> ReadBody(std::string& aBody);
  RawRequest Raw(std::string aBody) const;
  bool Relay(const std::shared_ptr<CallerSession>& aSession);

  EntryContext mContext;
  ConnectionRegistry::Entry& mConnection;
  Poco::Net::HTTPServerRequestImpl& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
  SystemClock mClock;
  RequestId mId;
  ReplyWriter mWriter;
  BodyShare mBodyShare;
};

} // namespace skylarkchute
