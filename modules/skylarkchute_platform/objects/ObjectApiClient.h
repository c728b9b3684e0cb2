#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <Poco/Net/HTTPClientSession.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace skylarkchute {

/** Calls the object API over HTTP with persistent connections. Thread-safe.
    @see docs/STANDINS.md for the protocol */
class ObjectApiClient final : public ObjectApi
{
public:
  /** @param aAddress  IP address of the platform */
  ObjectApiClient(std::string aAddress, std::uint16_t aPort);
  ~ObjectApiClient() override;

  /** Sends one call; blocks until it has an outcome or its timeout has passed. For a watch, the
      timeout is extended by its wait. */
  ObjectReply Call(const ObjectCall& aCall) override;

private:
  using Session = Poco::Net::HTTPClientSession;

  std::unique_ptr<Session> AcquireSession();
  void ReleaseSession(std::unique_ptr<Session> aSession);

  static constexpr std::size_t kMaxIdleSessions = 16;

  std::string mAddress;
  std::uint16_t mPort;
  std::mutex mMutex;
  std::vector<std::unique_ptr<Session>> mIdle;
};

} // namespace skylarkchute
