#pragma once

#include "ConnectionRegistry.h"
#include "RouteHandler.h"
#include "TlsContextProvider.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

namespace skylarkchute {

/** Serves one caller connection: reads its requests in sequence, each served by a RouteHandler. */
class EntryConnection final : public Poco::Net::TCPServerConnection
{
public:
  /** @param aTls  null for plain HTTP */
  EntryConnection(const Poco::Net::StreamSocket& aSocket,
                  EntryContext aContext,
                  ConnectionRegistry& aRegistry,
                  TlsContextProvider* aTls);

  void run() override;

private:
  void ServeRequests();
  bool ServeNext(Poco::Net::HTTPServerSession& aSession);
  std::optional<ProblemReply> ProblemIfEnded() const;
  void Linger();
  void Refuse(Poco::Net::HTTPServerResponse& aResponse, const ProblemReply& aProblem);

  EntryContext mContext;
  ConnectionRegistry& mRegistry;
  TlsContextProvider* mTls;
  ConnectionRegistry::Entry mEntry;
  Poco::Net::HTTPServerParams::Ptr mParams;
};

} // namespace skylarkchute
