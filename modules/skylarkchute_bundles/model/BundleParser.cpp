#include "BundleParser.h"

#include "BundleChecks.h"

#include <algorithm>
#include <functional>
#include <map>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaximumPriority = 1000;
constexpr std::uint32_t kMaximumConcurrency = 1'000'000;
constexpr std::uint32_t kMaximumEvidence = 100'000'000;
constexpr double kMaximumPrice = 1e6;
constexpr double kMaximumLatencyRatio = 100;
constexpr milliseconds kMaximumTargetLatency = std::chrono::hours(1);
constexpr milliseconds kMaximumServiceTimeout = std::chrono::hours(1);
constexpr milliseconds kMaximumHold = std::chrono::hours(24 * 30);
constexpr milliseconds kMaximumRetention = std::chrono::hours(24 * 90);
constexpr std::size_t kMinSaltDigits = 16; /**< In hexadecimal. */
constexpr std::size_t kSha256Digits = 64;

bool IsHex(std::string_view aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

template<typename Name>
std::vector<Name> ToNames(const std::vector<std::string>& aItems)
{
  std::vector<Name> names;
  names.reserve(aItems.size());
  for (const auto& it : aItems) {
    names.emplace_back(it);
  }
  return names;
}

/** Builds a bundle from INI sections and collects faults. */
class BundleBuilder
{
public:
  void Read(const IniSection& aSection);

  std::vector<Fault> mFaults;
  Bundle mBundle;

private:
  void ReadHeader(SectionReader& aReader);
  void ReadTeam(const std::string& aName, SectionReader& aReader);
  void ReadModel(const std::string& aName, SectionReader& aReader);
  void ReadVersion(const std::string& aName, SectionReader& aReader);
  void ReadClass(const std::string& aName, SectionReader& aReader);
  void ReadCascade(const std::string& aName, SectionReader& aReader);
  void ReadRoll(const std::string& aName, SectionReader& aReader);
  void ReadService(const std::string& aName, SectionReader& aReader);
  void ReadEndpoint(const std::string& aName, SectionReader& aReader);
  void ReadKeyHashes(Team& aTeam, SectionReader& aReader);
};

using SectionMethod = void (BundleBuilder::*)(const std::string&, SectionReader&);

void BundleBuilder::Read(const IniSection& aSection)
{
  static const std::map<std::string, SectionMethod, std::less<>> kMethods = {
    { "team", &BundleBuilder::ReadTeam },       { "model", &BundleBuilder::ReadModel },
    { "version", &BundleBuilder::ReadVersion }, { "class", &BundleBuilder::ReadClass },
    { "cascade", &BundleBuilder::ReadCascade }, { "roll", &BundleBuilder::ReadRoll },
    { "service", &BundleBuilder::ReadService }, { "endpoint", &BundleBuilder::ReadEndpoint },
  };
  SectionReader reader(aSection, mFaults);
  if (aSection.mName == "bundle") {
    ReadHeader(reader);
    reader.Finish();
    return;
  }
  const auto blank = aSection.mName.find(' ');
  const auto method = kMethods.find(aSection.mName.substr(0, blank));
  if (method == kMethods.end()) {
    reader.AddFault("", "is not a known section");
    return;
  }
  const auto name = blank == std::string::npos ? "" : aSection.mName.substr(blank + 1);
  const auto hasCompoundName = method->first == "version" || method->first == "endpoint";
  if (!hasCompoundName && !IsPlainName(name)) {
    reader.AddFault("", "needs a name of 1 to 64 letters, digits, '.', '_' or '-'");
    return;
  }
  (this->*method->second)(name, reader);
  reader.Finish();
}

void BundleBuilder::ReadHeader(SectionReader& aReader)
{
  const auto readRetention = [&](const std::string& aKey, std::chrono::seconds aFallback) {
    const auto retention = aReader.ReadDurationUpTo(aKey, kMaximumRetention, aFallback);
    if (retention % std::chrono::seconds(1) != milliseconds(0)) {
      aReader.AddFault(aKey, "must be a whole number of seconds");
    }
    return std::chrono::duration_cast<std::chrono::seconds>(retention);
  };
  mBundle.mTitle = aReader.ReadText("title", "");
  mBundle.mRetention.mClaims = readRetention("claim-retention", mBundle.mRetention.mClaims);
  mBundle.mRetention.mPins = readRetention("pin-retention", mBundle.mRetention.mPins);
}

void BundleBuilder::ReadKeyHashes(Team& aTeam, SectionReader& aReader)
{
  for (const auto& it : aReader.ReadItems("keys", true)) {
    const auto colon = it.find(':');
    const auto salt = it.substr(0, colon);
    const auto digest = colon == std::string::npos ? "" : it.substr(colon + 1);
    if (salt.size() < kMinSaltDigits || !IsHex(salt) || digest.size() != kSha256Digits ||
        !IsHex(digest)) {
      // The message omits the value, which may be a plain-text key.
      aReader.AddFault("keys",
                       "must be SALT:SHA256 in lower-case hexadecimal digits, the salt 16 or more");
      continue;
    }
    aTeam.mKeyHashes.push_back({ salt, digest });
  }
}

void BundleBuilder::ReadTeam(const std::string& aName, SectionReader& aReader)
{
  Team team;
  team.mName = TeamName(aName);
  ReadKeyHashes(team, aReader);
  team.mModels = ToNames<ModelName>(aReader.ReadItems("models", false));
  team.mVersions = ToNames<VersionId>(aReader.ReadItems("versions", false));
  team.mServices = ToNames<ServiceName>(aReader.ReadItems("services", false));
  team.mRequestsPerSecond = aReader.ReadPositive("requests-per-second");
  team.mTokensPerSecond = aReader.ReadPositive("tokens-per-second");
  team.mConcurrency = aReader.ReadCountIn("concurrency", 1, kMaximumConcurrency);
  team.mWeight = aReader.ReadPositive("weight", 1);
  mBundle.mTeams.push_back(std::move(team));
}

void BundleBuilder::ReadModel(const std::string& aName, SectionReader& aReader)
{
  Model model;
  model.mName = ModelName(aName);
  model.mPricePerThousandTokens =
    aReader.ReadNumberIn("price-per-thousand-tokens", 0, kMaximumPrice);
  model.mQuality = aReader.ReadNumberIn("quality", 0, 1);
  mBundle.mModels.push_back(std::move(model));
}

void BundleBuilder::ReadVersion(const std::string& aName, SectionReader& aReader)
{
  const auto slash = aName.find('/');
  if (slash == std::string::npos || !IsPlainName(aName.substr(0, slash)) ||
      !IsPlainName(aName.substr(slash + 1))) {
    aReader.AddFault("", "must be named MODEL/NAME");
    return;
  }
  ModelVersion version;
  version.mId = VersionId(aName);
  version.mModel = ModelName(aName.substr(0, slash));
  version.mLabel = aReader.ReadText("label", aName);
  const auto state = aReader.ReadText("state", "");
  if (state == "active") {
    version.mState = VersionState::Active;
  } else if (state == "rolling") {
    version.mState = VersionState::Rolling;
  } else if (state == "withdrawn") {
    version.mState = VersionState::Withdrawn;
  } else {
    aReader.AddFault("state", "must be active, rolling or withdrawn, not '" + state + "'");
  }
  mBundle.mVersions.push_back(std::move(version));
}

void BundleBuilder::ReadClass(const std::string& aName, SectionReader& aReader)
{
  RequestClass entry;
  entry.mName = ClassName(aName);
  entry.mPriority = aReader.ReadCountIn("priority", 0, kMaximumPriority);
  entry.mTargetLatency = aReader.ReadDurationUpTo("target-latency", kMaximumTargetLatency);
  entry.mQualityTarget = aReader.ReadNumberIn("quality-target", 0, 1, 0);
  entry.mIdempotent = aReader.ReadFlagOr("idempotent", true);
  entry.mHedged = aReader.ReadFlagOr("hedged", false);
  const auto cascade = aReader.ReadText("cascade", "");
  if (!cascade.empty()) {
    entry.mCascade = CascadeName(cascade);
  }
  mBundle.mClasses.push_back(std::move(entry));
}

void BundleBuilder::ReadCascade(const std::string& aName, SectionReader& aReader)
{
  mBundle.mCascades.push_back(
    { CascadeName(aName), ToNames<ModelName>(aReader.ReadItems("models", true)) });
}

void BundleBuilder::ReadRoll(const std::string& aName, SectionReader& aReader)
{
  RollPlan roll;
  roll.mName = RollName(aName);
  roll.mFrom = VersionId(aReader.ReadText("from", ""));
  roll.mTo = VersionId(aReader.ReadText("to", ""));
  for (const auto& it : aReader.ReadItems("stages", true)) {
    const auto percent = ReadNumber(it);
    if (!percent) {
      aReader.AddFault("stages", "'" + it + "' is not a number");
      continue;
    }
    roll.mStagePercents.push_back(*percent);
  }
  roll.mHold = aReader.ReadDurationUpTo("hold", kMaximumHold);
  roll.mEvidence = aReader.ReadCountIn("evidence", 1, kMaximumEvidence);
  const RollThresholds gates;
  roll.mThresholds.mErrorRateIncrease =
    aReader.ReadNumberIn("max-error-rate-increase", 0, 1, gates.mErrorRateIncrease);
  roll.mThresholds.mLatencyRatio =
    aReader.ReadNumberIn("max-latency-ratio", 1, kMaximumLatencyRatio, gates.mLatencyRatio);
  roll.mThresholds.mQualityDrop =
    aReader.ReadNumberIn("max-quality-drop", 0, 1, gates.mQualityDrop);
  mBundle.mRolls.push_back(std::move(roll));
}

void BundleBuilder::ReadService(const std::string& aName, SectionReader& aReader)
{
  Service service;
  service.mName = ServiceName(aName);
  service.mIdempotent = aReader.ReadFlagOr("idempotent", true);
  service.mTimeout = aReader.ReadDurationUpTo("timeout", kMaximumServiceTimeout);
  mBundle.mServices.push_back(std::move(service));
}

void BundleBuilder::ReadEndpoint(const std::string& aName, SectionReader& aReader)
{
  const auto slash = aName.find('/');
  const auto name = slash == std::string::npos ? "" : aName.substr(slash + 1);
  if (!IsPlainName(aName.substr(0, slash)) || (name != "*" && !IsPlainName(name))) {
    aReader.AddFault("", "must be named ZONE/ENDPOINT or ZONE/*");
    return;
  }
  const auto checksFencing = aReader.ReadFlagOr("checks-fencing", std::nullopt);
  mBundle.mEndpointRules.push_back({ name, ZoneName(aName.substr(0, slash)), checksFencing });
}

} // namespace

leaf::result<Bundle> ParseBundle(std::string_view aIniText)
{
  BOOST_LEAF_AUTO(document, IniDocument::Parse(aIniText));
  BundleBuilder builder;
  for (const auto& it : document.Sections()) {
    builder.Read(it);
  }
  auto faults = CheckBundle(builder.mBundle);
  builder.mFaults.insert(builder.mFaults.end(), faults.begin(), faults.end());
  if (!builder.mFaults.empty()) {
    return leaf::new_error(Faults{ std::move(builder.mFaults) });
  }
  return std::move(builder.mBundle);
}

} // namespace skylarkchute
