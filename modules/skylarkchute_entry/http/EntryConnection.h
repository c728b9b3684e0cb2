#pragma once

#include "ConnectionRegistry.h"
#include "RouteHandler.h"
#include "TlsIdentity.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

namespace skylarkchute {

/** One connection of a caller: reads its requests one after the other and has each served. */
class EntryConnection final : public Poco::Net::TCPServerConnection
{
public:
  /** @param aTls  null for plain HTTP */
  EntryConnection(const Poco::Net::StreamSocket& aSocket,
                  EntryContext aContext,
                  ConnectionRegistry& aRegistry,
                  TlsIdentity* aTls);

  void run() override;

private:
  void ServeRequests();
  bool ServeNext(Poco::Net::HTTPServerSession& aSession);
  std::optional<ProblemReply> WhyEnded() const;
  void Linger();
  void Refuse(Poco::Net::HTTPServerResponse& aResponse, const ProblemReply& aProblem);

  EntryContext mContext;
  ConnectionRegistry& mRegistry;
  TlsIdentity* mTls;
  ConnectionRegistry::Entry mEntry;
  Poco::Net::HTTPServerParams::Ptr mParams;
};

} // namespace skylarkchute
