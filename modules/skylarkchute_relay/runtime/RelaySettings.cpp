#include "RelaySettings.h"

#include "../net/SocketOptions.h"

#include <algorithm>
#include <map>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxPeriod{ 600000 };
constexpr std::uint32_t kMaxMemoryMb = 1 << 20;
constexpr std::uint32_t kMaxDescriptors = 1 << 20;
constexpr std::uint32_t kMaxHeaderLines = 16384;
constexpr std::uint32_t kMaxBodyRate = 1 << 20;
constexpr std::uint32_t kMaxZones = 1000;

/** Defaults of the figures that the platform may not state. */
constexpr double kDefaultRetryRatio = 0.1;
constexpr double kDefaultRetrySlack = 10;
constexpr milliseconds kDefaultRetryWindow{ 10000 };
constexpr double kDefaultExposedShare = 0.05;
constexpr double kDefaultExposedSlack = 10;
constexpr milliseconds kDefaultSession{ 5000 };
constexpr milliseconds kDefaultEvacuationTime{ 5000 };
constexpr milliseconds kDefaultGrace{ 5000 };

/** Reads the sections of a settings document and collects faults. */
class RelaySections
{
public:
  explicit RelaySections(const IniDocument& aDocument) : mDocument(aDocument) {}

  /** Calls @p aRead with a reader of the section; a missing section is a fault. */
  template<typename Read>
  void ReadSection(const std::string& aName, const Read& aRead)
  {
    if (!ReadOptionalSection(aName, aRead)) {
      mFaults.mFaults.push_back({ aName, "", "the section is missing" });
    }
  }

  /** Calls @p aRead with a reader of the section if there is one.
      @returns whether there is one */
  template<typename Read>
  bool ReadOptionalSection(const std::string& aName, const Read& aRead)
  {
    const auto* section = Find(aName);
    if (section == nullptr) {
      return false;
    }
    SectionReader reader(*section, mFaults.mFaults);
    aRead(reader);
    reader.Finish();
    return true;
  }

  /** Returns the section, or null when it is missing. Its keys are not checked. */
  const IniSection* Find(const std::string& aName)
  {
    mReadSections.push_back(aName);
    const auto& sections = mDocument.Sections();
    const auto found = std::find_if(sections.begin(), sections.end(), [&](const auto& aSection) {
      return aSection.mName == aName;
    });
    return found == sections.end() ? nullptr : &*found;
  }

  void AddFault(const Fault& aFault) { mFaults.mFaults.push_back(aFault); }

  /** Records a fault for each section that was not read.
      @returns all faults */
  Faults Finish()
  {
    for (const auto& it : mDocument.Sections()) {
      if (std::find(mReadSections.begin(), mReadSections.end(), it.mName) == mReadSections.end()) {
        mFaults.mFaults.push_back({ it.mName, "", "unknown section" });
      }
    }
    return mFaults;
  }

private:
  const IniDocument& mDocument;
  std::vector<std::string> mReadSections;
  Faults mFaults;
};

std::string ReadAddress(SectionReader& aReader, const std::string& aKey, bool aRequired)
{
  auto text = aReader.ReadText(aKey, "");
  if (text.empty() && !aRequired) {
    return text;
  }
  if (!ParseSocketAddress(text)) {
    aReader.AddFault(aKey, "must be IP:PORT");
  }
  return text;
}

EventLevel ReadLevel(SectionReader& aReader)
{
  static const std::map<std::string, EventLevel> levels{ { "debug", EventLevel::Debug },
                                                         { "info", EventLevel::Info },
                                                         { "warning", EventLevel::Warning },
                                                         { "error", EventLevel::Error } };
  const auto found = levels.find(aReader.ReadText("level", "info"));
  if (found == levels.end()) {
    aReader.AddFault("level", "must be debug, info, warning or error");
    return EventLevel::Info;
  }
  return found->second;
}

/** Reads the figures of one section that the platform fills in. The platform may leave the value
    empty, or state any figure as a fraction. */
class FigureReader
{
public:
  /** @param aDefaulted  receives the keys without a value; has to outlive the reader */
  FigureReader(SectionReader& aReader, std::string aSection, std::vector<std::string>& aDefaulted)
    : mReader(aReader)
    , mSection(std::move(aSection))
    , mDefaulted(aDefaulted)
  {
  }

  /** Whether the key itself may be absent; it then has its default as well. */
  enum class Key
  {
    Required,
    Optional,
  };

  /** Returns a number from @p aMin to @p aMax; @p aDefault if the key has no value. */
  double ReadNumber(const std::string& aKey,
                    double aMin,
                    double aMax,
                    double aDefault,
                    Key aPresence = Key::Required)
  {
    if (mReader.IsBlank(aKey)) {
      RecordDefault(aKey, WriteNumber(aDefault));
      return aDefault;
    }
    return mReader.ReadNumberIn(aKey, aMin, aMax, IfOptional(aPresence, aDefault));
  }

  /** Returns a duration from 1 ms to kMaxPeriod; @p aDefault if the key has no value. */
  milliseconds ReadDuration(const std::string& aKey,
                            milliseconds aDefault,
                            Key aPresence = Key::Required)
  {
    if (mReader.IsBlank(aKey)) {
      RecordDefault(aKey, WriteDuration(aDefault));
      return aDefault;
    }
    return mReader.ReadDurationUpTo(aKey, kMaxPeriod, IfOptional(aPresence, aDefault));
  }

  /** Returns the integral part of a number from 0 to @p aMax; 0 if the key has no value or is
      absent. */
  std::uint32_t ReadIntegralPart(const std::string& aKey, std::uint32_t aMax)
  {
    if (mReader.IsBlank(aKey)) {
      RecordDefault(aKey, "0");
      return 0;
    }
    return static_cast<std::uint32_t>(mReader.ReadNumberIn(aKey, 0, aMax, 0));
  }

private:
  template<typename Value>
  static std::optional<Value> IfOptional(Key aPresence, Value aDefault)
  {
    return aPresence == Key::Optional ? std::optional(aDefault) : std::nullopt;
  }

  void RecordDefault(const std::string& aKey, const std::string& aDefault)
  {
    mDefaulted.push_back(mSection + "." + aKey + " = " + aDefault);
  }

  SectionReader& mReader;
  std::string mSection;
  std::vector<std::string>& mDefaulted;
};

} // namespace

leaf::result<RelaySettings> ParseRelaySettings(const IniDocument& aDocument)
{
  RelaySettings settings;
  RelaySections sections(aDocument);
  const auto figuresOf = [&](SectionReader& aReader, const std::string& aSection) {
    return FigureReader(aReader, aSection, settings.mDefaulted);
  };
  sections.ReadSection("instance", [&](SectionReader& aReader) {
    settings.mName = aReader.ReadText("name", "");
    settings.mZone = ZoneName(aReader.ReadText("zone", ""));
    if (settings.mName.empty()) {
      aReader.AddFault("name", "must be set");
    }
  });
  sections.ReadSection("listen", [&](SectionReader& aReader) {
    settings.mCallerAddress = ReadAddress(aReader, "callers", true);
    settings.mReadyAddress = ReadAddress(aReader, "ready", true);
    settings.mPeerAddress = ReadAddress(aReader, "peers", true);
    settings.mForwardAddress = ReadAddress(aReader, "forwarded", false);
    settings.mMetricsAddress = ReadAddress(aReader, "metrics", false);
  });
  sections.ReadSection("platform", [&](SectionReader& aReader) {
    settings.mStoreAddress = ReadAddress(aReader, "store", true);
    settings.mSeeds = aReader.ReadItems("seeds", false);
  });
  sections.ReadSection("retries", [&](SectionReader& aReader) {
    auto figures = figuresOf(aReader, "retries");
    auto& bound = settings.mBounds.mRetry;
    bound.mRatio = figures.ReadNumber("ratio", 0, 10, kDefaultRetryRatio);
    bound.mSlack = figures.ReadNumber("slack", 0, 1e6, kDefaultRetrySlack);
    bound.mWindow = figures.ReadDuration("window", kDefaultRetryWindow);
  });
  sections.ReadSection("rollouts", [&](SectionReader& aReader) {
    auto figures = figuresOf(aReader, "rollouts");
    auto& bound = settings.mBounds.mExposure;
    bound.mShare = figures.ReadNumber("exposed_share", 0, 1, kDefaultExposedShare);
    bound.mSlack = figures.ReadNumber("exposed_slack", 0, 1e6, kDefaultExposedSlack);
    settings.mBounds.mSession =
      figures.ReadDuration("session", kDefaultSession, FigureReader::Key::Optional);
  });
  sections.ReadOptionalSection("zones", [&](SectionReader& aReader) {
    settings.mBounds.mToleratedZones =
      figuresOf(aReader, "zones").ReadIntegralPart("tolerated", kMaxZones);
  });
  sections.ReadOptionalSection("evacuations", [&](SectionReader& aReader) {
    settings.mEvacuationTime =
      figuresOf(aReader, "evacuations").ReadDuration("apply_within", kDefaultEvacuationTime);
  });
  sections.ReadOptionalSection("cold_endpoints", [&](SectionReader& aReader) {
    auto& bound = settings.mBounds.mCold.emplace();
    auto figures = figuresOf(aReader, "cold_endpoints");
    constexpr auto kOptional = FigureReader::Key::Optional;
    bound.mOvershoot = figures.ReadNumber("overshoot", 1, 100, bound.mOvershoot, kOptional);
    bound.mSlack = figures.ReadNumber("slack", 0, 1e6, bound.mSlack, kOptional);
  });
  if (const auto* section = sections.Find("regions")) {
    for (const auto& it : section->mEntries) {
      if (it.mValue.empty()) {
        sections.AddFault({ "regions", it.mKey, "must name the region of the zone" });
      }
      settings.mBounds.mRegions[ZoneName(it.mKey)] = RegionName(it.mValue);
    }
  }
  sections.ReadOptionalSection("hedging", [&](SectionReader& aReader) {
    settings.mBounds.mHedging.mShare = aReader.ReadNumberIn("share", 0, 1, 0);
    for (const auto& it : aReader.ReadItems("services", false)) {
      settings.mBounds.mHedging.mServices.insert(ServiceName(it));
    }
  });
  sections.ReadSection("shutdown", [&](SectionReader& aReader) {
    settings.mGrace = figuresOf(aReader, "shutdown").ReadDuration("grace", kDefaultGrace);
  });
  sections.ReadOptionalSection("callers", [&](SectionReader& aReader) {
    auto& callers = settings.mCallers;
    auto figures = figuresOf(aReader, "callers");
    callers.mMemoryMb = figures.ReadIntegralPart("memory", kMaxMemoryMb);
    callers.mDescriptors = figures.ReadIntegralPart("descriptors", kMaxDescriptors);
    callers.mConnections = aReader.ReadCountIn("connections", 0, kMaxDescriptors, 0);
    callers.mHeaderLines =
      aReader.ReadCountIn("header_lines", 1, kMaxHeaderLines, callers.mHeaderLines);
    callers.mBodyRate = aReader.ReadCountIn("body_rate", 0, kMaxBodyRate, callers.mBodyRate);
  });
  sections.ReadSection("log",
                       [&](SectionReader& aReader) { settings.mLogLevel = ReadLevel(aReader); });
  auto faults = sections.Finish();
  if (!faults.mFaults.empty()) {
    return leaf::new_error(std::move(faults));
  }
  return settings;
}

} // namespace skylarkchute
