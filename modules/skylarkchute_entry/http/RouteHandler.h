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

/** State shared by all connections of one HttpEntry. */
struct EntryContext
{
  const EntryOptions& mOptions;
  RequestSink& mSink;
  BodyBudget& mBodyBudget;
  std::atomic<bool>& mLeaving;
};

/** Serves one HTTP request: reads its body, routes it by path and writes the answer. */
class RouteHandler
{
public:
  /** @param aConnection  registry entry of the connection that carries the request */
  RouteHandler(EntryContext aContext,
               ConnectionRegistry::Entry& aConnection,
               Poco::Net::HTTPServerRequestImpl& aRequest,
               Poco::Net::HTTPServerResponse& aResponse);

  /** Serves the request; returns when the answer is written or the caller has disconnected.
      @returns whether the connection can be reused for another request */
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
  RawRequest MakeRawRequest(std::string aBody) const;
  bool WriteAnswer(const std::shared_ptr<CallerSession>& aSession);

  EntryContext mContext;
  ConnectionRegistry::Entry& mConnection;
  Poco::Net::HTTPServerRequestImpl& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
  SystemClock mClock;
  RequestId mId;
  ReplyWriter mWriter;
  BodyReservation mBodyReservation;
};

} // namespace skylarkchute
