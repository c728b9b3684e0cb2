#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <Poco/Net/HTTPClientSession.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace skylarkchute {

/** Calls the object API over HTTP with kept-open connections. Safe to use from several threads.
    @see docs/STANDINS.md for the protocol */
class ObjectApiClient final : public ObjectApi
{
public:
  /** @param aAddress  IP number of the platform */
  ObjectApiClient(std::string aAddress, std::uint16_t aPort);
  ~ObjectApiClient() override;

  /** Carries out one call; blocks until it has an outcome or its timeout has passed. */
  ObjectReply Call(const ObjectCall& aCall) override;

private:
  using Session = Poco::Net::HTTPClientSession;

  std::unique_ptr<Session> TakeSession();
  void ReturnSession(std::unique_ptr<Session> aSession);

  static constexpr std::size_t kMaxIdleSessions = 16;

  std::string mAddress;
  std::uint16_t mPort;
  std::mutex mMutex;
  std::vector<std::unique_ptr<Session>> mIdle;
};

} // namespace skylarkchute
