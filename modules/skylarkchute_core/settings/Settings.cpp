#include "Settings.h"

#include "SectionReader.h"

#include <algorithm>
#include <cctype>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxPort = 65'535;
constexpr std::uint32_t kMaxConnections = 100'000;
constexpr std::uint32_t kMaxBodyBytes = 64U << 20U;
constexpr std::uint32_t kMaxShards = 1024;
constexpr double kMaxCallsPerSecond = 1e6;
constexpr milliseconds kMaxPeriod = std::chrono::hours(1);
constexpr std::size_t kMinSharedKeyLength = 16;
constexpr std::string_view kEnvironmentPrefix = "SKYLARKCHUTE_";

bool HasOnlyIpCharacters(const std::string& aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return std::isxdigit(aCharacter) != 0 || aCharacter == '.' || aCharacter == ':';
  });
}

std::string ReadAddress(SectionReader& aReader)
{
  auto address = aReader.ReadText("address", "127.0.0.1");
  if (!HasOnlyIpCharacters(address)) {
    aReader.AddFault("address", "is not an IP address");
  }
  return address;
}

std::uint16_t ReadPort(SectionReader& aReader, const std::string& aKey)
{
  return static_cast<std::uint16_t>(aReader.ReadCountIn(aKey, 1, kMaxPort));
}

std::string ReadName(SectionReader& aReader, const std::string& aKey)
{
  auto name = aReader.ReadText(aKey, "");
  if (name.empty()) {
    aReader.AddFault(aKey, "is missing");
  }
  return name;
}

Settings::Instance ReadInstance(SectionReader& aReader)
{
  Settings::Instance instance;
  instance.mId = InstanceId(ReadName(aReader, "id"));
  instance.mZone = ZoneName(ReadName(aReader, "zone"));
  instance.mAddress = ReadAddress(aReader);
  instance.mCallerPort = ReadPort(aReader, "caller_port");
  instance.mPeerPort = ReadPort(aReader, "peer_port");
  if (instance.mPeerPort != 0 && instance.mPeerPort == instance.mCallerPort) {
    aReader.AddFault("peer_port", "is the same as caller_port");
  }
  return instance;
}

Settings::Platform ReadPlatform(SectionReader& aReader)
{
  Settings::Platform platform;
  platform.mAddress = ReadAddress(aReader);
  platform.mPort = ReadPort(aReader, "port");
  platform.mFleetWritesPerSecond =
    aReader.ReadNumberIn("fleet_writes_per_second", 1, kMaxCallsPerSecond, 300);
  platform.mFleetReadsPerSecond =
    aReader.ReadNumberIn("fleet_reads_per_second", 1, kMaxCallsPerSecond, 1500);
  return platform;
}

std::string ReadSharedKey(SectionReader& aReader)
{
  auto key = aReader.ReadText("shared_key", "");
  if (key.size() < kMinSharedKeyLength) {
    aReader.AddFault("shared_key",
                     "needs at least " + std::to_string(kMinSharedKeyLength) + " characters");
  }
  return key;
}

Settings::Callers ReadCallers(SectionReader& aReader)
{
  Settings::Callers callers;
  callers.mMaxConnections = aReader.ReadCountIn("max_connections", 1, kMaxConnections, 256);
  callers.mMaxBodyBytes = aReader.ReadCountIn("max_body_bytes", 1024, kMaxBodyBytes, 1U << 20U);
  callers.mReceiveTimeout =
    aReader.ReadDurationUpTo("receive_timeout", kMaxPeriod, milliseconds(10'000));
  callers.mDefaultDeadline =
    aReader.ReadDurationUpTo("default_deadline", kMaxPeriod, milliseconds(60'000));
  callers.mCertificateFile = aReader.ReadText("certificate", "");
  callers.mKeyFile = aReader.ReadText("key", "");
  if (callers.mCertificateFile.empty() != callers.mKeyFile.empty()) {
    aReader.AddFault("certificate", "certificate and key must be set together");
  }
  return callers;
}

Settings::Ledger ReadLedger(SectionReader& aReader)
{
  Settings::Ledger ledger;
  ledger.mShards = aReader.ReadCountIn("shards", 1, kMaxShards, 16);
  ledger.mUsageMaxAge = aReader.ReadDurationUpTo("usage_max_age", kMaxPeriod, milliseconds(5'000));
  return ledger;
}

Settings::Routing ReadRouting(SectionReader& aReader)
{
  Settings::Routing routing;
  routing.mLoadPollPeriod =
    aReader.ReadDurationUpTo("load_poll_period", kMaxPeriod, milliseconds(500));
  routing.mFreshnessBound =
    aReader.ReadDurationUpTo("freshness_bound", kMaxPeriod, milliseconds(10'000));
  return routing;
}

Settings::Shutdown ReadShutdown(SectionReader& aReader)
{
  Settings::Shutdown shutdown;
  shutdown.mNotReadyPeriod =
    aReader.ReadDurationUpTo("not_ready_period", kMaxPeriod, milliseconds(1'000));
  shutdown.mGrace = aReader.ReadDurationUpTo("grace", kMaxPeriod, milliseconds(120'000));
  return shutdown;
}

Settings::Log ReadLog(SectionReader& aReader)
{
  Settings::Log log;
  const auto format = aReader.ReadText("format", "text");
  if (format == "json") {
    log.mFormat = LogFormat::Json;
  } else if (format != "text") {
    aReader.AddFault("format", "is neither text nor json");
  }
  const auto level = aReader.ReadText("level", "info");
  if (level == "debug") {
    log.mLevel = EventLevel::Debug;
  } else if (level == "warning") {
    log.mLevel = EventLevel::Warning;
  } else if (level == "error") {
    log.mLevel = EventLevel::Error;
  } else if (level != "info") {
    aReader.AddFault("level", "is none of debug, info, warning, error");
  }
  return log;
}

/** Reads the sections of a document, with overrides applied, and reports sections that are unknown
    because they were not read. */
class SectionTable
{
public:
  SectionTable(const IniDocument& aDocument, const std::vector<SettingOverride>& aOverrides)
    : mSections(aDocument.Sections())
  {
    for (const auto& it : aOverrides) {
      ApplyOverride(it);
    }
  }

  /** Reads one section with @p aRead; an absent section is treated as empty. */
  template<typename Read>
  auto ReadSection(const std::string& aName, Read aRead)
  {
    mKnown.push_back(aName);
    SectionReader reader(GetOrAddSection(aName), mFaults);
    auto value = aRead(reader);
    reader.Finish();
    return value;
  }

  /** Returns all errors, including those for unknown sections. */
  std::vector<Fault> Finish()
  {
    for (const auto& it : mSections) {
      if (std::find(mKnown.begin(), mKnown.end(), it.mName) == mKnown.end()) {
        mFaults.push_back({ it.mName, "", "unknown section" });
      }
    }
    return mFaults;
  }

private:
  IniSection& GetOrAddSection(const std::string& aName)
  {
    const auto it =
      std::find_if(mSections.begin(), mSections.end(), [&](const IniSection& aSection) {
        return aSection.mName == aName;
      });
    if (it != mSections.end()) {
      return *it;
    }
    mSections.push_back({ aName, {} });
    return mSections.back();
  }

  void ApplyOverride(const SettingOverride& aOverride)
  {
    auto& entries = GetOrAddSection(aOverride.mSection).mEntries;
    const auto it = std::find_if(entries.begin(), entries.end(), [&](const IniEntry& aEntry) {
      return aEntry.mKey == aOverride.mKey;
    });
    if (it != entries.end()) {
      it->mValue = aOverride.mValue;
    } else {
      entries.push_back({ aOverride.mKey, aOverride.mValue });
    }
  }

  std::vector<IniSection> mSections;
  std::vector<std::string> mKnown;
  std::vector<Fault> mFaults;
};

std::string LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

} // namespace

leaf::result<Settings> ParseSettings(const IniDocument& aDocument,
                                     const std::vector<SettingOverride>& aOverrides)
{
  SectionTable table(aDocument, aOverrides);
  Settings settings;
  settings.mInstance = table.ReadSection("instance", ReadInstance);
  settings.mPlatform = table.ReadSection("platform", ReadPlatform);
  settings.mPeerSharedKey = table.ReadSection("peers", ReadSharedKey);
  settings.mCallers = table.ReadSection("callers", ReadCallers);
  settings.mLedger = table.ReadSection("ledger", ReadLedger);
  settings.mRouting = table.ReadSection("routing", ReadRouting);
  settings.mShutdown = table.ReadSection("shutdown", ReadShutdown);
  settings.mLog = table.ReadSection("log", ReadLog);
  const auto faults = table.Finish();
  if (!faults.empty()) {
    return leaf::new_error(Faults{ faults });
  }
  return settings;
}

leaf::result<SettingOverride> ParseOverride(const std::string& aText)
{
  const auto dot = aText.find('.');
  const auto equals = aText.find('=');
  if (dot == std::string::npos || equals == std::string::npos || equals < dot) {
    return leaf::new_error(Faults{ { { "", aText, "is not SECTION.KEY=VALUE" } } });
  }
  return SettingOverride{ aText.substr(0, dot),
                          aText.substr(dot + 1, equals - dot - 1),
                          aText.substr(equals + 1) };
}

std::vector<SettingOverride> EnvironmentOverrides(const char* const* aEnvironment)
{
  std::vector<SettingOverride> overrides;
  for (auto it = aEnvironment; it != nullptr && *it != nullptr; ++it) {
    const std::string_view entry(*it);
    const auto equals = entry.find('=');
    if (entry.rfind(kEnvironmentPrefix, 0) != 0 || equals == std::string_view::npos) {
      continue;
    }
    const auto name = entry.substr(kEnvironmentPrefix.size(), equals - kEnvironmentPrefix.size());
    const auto split = name.find('_');
    if (split == std::string_view::npos) {
      continue;
    }
    overrides.push_back({ LowerCase(std::string(name.substr(0, split))),
                          LowerCase(std::string(name.substr(split + 1))),
                          std::string(entry.substr(equals + 1)) });
  }
  return overrides;
}

} // namespace skylarkchute
