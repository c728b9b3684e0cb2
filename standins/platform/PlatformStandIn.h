#pragma once

#include "InstanceTable.h"
#include "ObjectTable.h"
#include "PlatformSwitches.h"

#include <Poco/Net/HTTPServer.h>

#include <cstdint>
#include <memory>

namespace skylarkchute::standins {

/** Simulates the object API and the instance list of the platform, over HTTP on the loopback
    address. @see docs/STANDINS.md */
class PlatformStandIn
{
public:
  /** Starts to serve. @param aPort  TCP port; zero selects a free port */
  explicit PlatformStandIn(std::uint16_t aPort);
  ~PlatformStandIn();

  /** Returns the TCP port that the server listens on. */
  std::uint16_t Port() const;

  /** Return the state of the server, for tests in the same process. */
  ObjectTable& Objects() { return mObjects; }
  InstanceTable& Instances() { return mInstances; }
  PlatformSwitches& Switches() { return mSwitches; }

private:
  ObjectTable mObjects;
  InstanceTable mInstances;
  PlatformSwitches mSwitches;
  std::unique_ptr<Poco::Net::HTTPServer> mServer;
};

} // namespace skylarkchute::standins
