#pragma once

#include "../events/EventLog.h"
#include "../identifiers/Identifiers.h"
#include "IniDocument.h"

#include <boost/leaf.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute {

/** The validated settings of one instance. @see docs/SETTINGS.md */
struct Settings
{
  struct Instance
  {
    InstanceId mId;
    ZoneName mZone;
    std::string mAddress; /**< IP address to listen on, at which peers reach this instance. */
    std::uint16_t mCallerPort = 0;
    std::uint16_t mPeerPort = 0;
  };

  struct Platform
  {
    std::string mAddress;
    std::uint16_t mPort = 0;
    double mFleetWritesPerSecond = 0;
    double mFleetReadsPerSecond = 0;
  };

  struct Callers
  {
    std::uint32_t mMaxConnections = 0;
    std::uint32_t mMaxBodyBytes = 0;
    std::chrono::milliseconds mReceiveTimeout{ 0 };
    std::chrono::milliseconds mDefaultDeadline{ 0 };
    std::string mCertificateFile; /**< Empty for plain HTTP. */
    std::string mKeyFile;
  };

  struct Ledger
  {
    std::uint32_t mShards = 0;
    /** Maximum age of a usage batch before it is written to the store. */
    std::chrono::milliseconds mUsageMaxAge{ 0 };
  };

  struct Routing
  {
    std::chrono::milliseconds mLoadPollPeriod{ 0 };
    /** Maximum age of the last confirmation of the bundle's generation. */
    std::chrono::milliseconds mFreshnessBound{ 0 };
  };

  struct Shutdown
  {
    /** Time after the stop request in which the instance reports not ready but still serves. */
    std::chrono::milliseconds mNotReadyPeriod{ 0 };
    std::chrono::milliseconds mGrace{ 0 }; /**< Time limit for requests in progress. */
  };

  struct Log
  {
    LogFormat mFormat = LogFormat::Text;
    EventLevel mLevel = EventLevel::Info;
  };

  Instance mInstance;
  Platform mPlatform;
  std::string mPeerSharedKey;
  Callers mCallers;
  Ledger mLedger;
  Routing mRouting;
  Shutdown mShutdown;
  Log mLog;
};

/** A setting from the environment or the command line, which overrides the one in the file. */
struct SettingOverride
{
  std::string mSection;
  std::string mKey;
  std::string mValue;
};

/** Reads and validates a settings document. All errors are collected and returned as Faults.
    @param aOverrides  replace values of the document; of several for one key, the last applies */
boost::leaf::result<Settings> ParseSettings(const IniDocument& aDocument,
                                            const std::vector<SettingOverride>& aOverrides);

/** Parses `SECTION.KEY=VALUE`. Errors are of type Faults. */
boost::leaf::result<SettingOverride> ParseOverride(const std::string& aText);

/** Returns the overrides among environment variables: `SKYLARKCHUTE_SECTION_KEY=VALUE`. Section and
    key are converted to lower case; other variables are ignored.
    @param aEnvironment  `NAME=VALUE` entries, null-terminated */
std::vector<SettingOverride> EnvironmentOverrides(const char* const* aEnvironment);

} // namespace skylarkchute
