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

/** The checked settings of one entry instance. @see docs/SETTINGS.md */
struct Settings
{
  struct Instance
  {
    InstanceId mId;
    ZoneName mZone;
    std::string mAddress; /**< IP number to listen on, and to be reached at. */
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
    std::chrono::milliseconds mUsageMaxAge{ 0 }; /**< Until a record's batch is written. */
  };

  struct Routing
  {
    std::chrono::milliseconds mLoadPollPeriod{ 0 };
    std::chrono::milliseconds mFreshnessBound{ 0 }; /**< Of the bundle's generation. */
  };

  struct Shutdown
  {
    std::chrono::milliseconds mNotReadyPeriod{ 0 }; /**< Not ready, still serving. */
    std::chrono::milliseconds mGrace{ 0 };          /**< For requests under way. */
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

/** One setting that replaces the file's, from the environment or the command line. */
struct SettingOverride
{
  std::string mSection;
  std::string mKey;
  std::string mValue;
};

/** Checks a settings document. Every fault is found and returned as Faults with its place.
    @param aOverrides  applied over the document, later ones win */
boost::leaf::result<Settings> ParseSettings(const IniDocument& aDocument,
                                            const std::vector<SettingOverride>& aOverrides);

/** Reads `SECTION.KEY=VALUE`. Errors are of type Faults. */
boost::leaf::result<SettingOverride> ParseOverride(const std::string& aText);

/** Returns the overrides in an environment: `SKYLARKCHUTE_SECTION_KEY=VALUE`.
    @param aEnvironment  `NAME=VALUE` entries, null-terminated */
std::vector<SettingOverride> EnvironmentOverrides(const char* const* aEnvironment);

} // namespace skylarkchute
