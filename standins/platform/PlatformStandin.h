#pragma once

#include "InstanceTable.h"
#include "ObjectTable.h"
#include "PlatformSwitches.h"

#include <Poco/Net/HTTPServer.h>

#include <cstdint>
#include <memory>

namespace skylarkchute::standins {

/** Object API and instance list over HTTP on the loopback address. @see docs/STANDINS.md */
class PlatformStandin
{
public:
  /** Starts serving. @param aPort  zero takes a free port */
  explicit PlatformStandin(std::uint16_t aPort);
  ~PlatformStandin();

  /** Returns the port that is served. */
  std::uint16_t Port() const;

  /** Return the state behind the server, for tests in the same process. */
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
