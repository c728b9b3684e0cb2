#include "Workload.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

constexpr double kCheapPrice = 1;
constexpr double kExpensivePrice = 14;
constexpr double kCheapExpectedQuality = 0.8;
constexpr double kExpensiveExpectedQuality = 0.97;
constexpr std::size_t kTeams = 10;
constexpr std::size_t kLargeTeams = 3;
constexpr std::uint16_t kFirstPort = 9000;

/** One request class: its load and its settings in the bundle. */
struct ClassSpec
{
  ClassLoad mLoad;
  std::uint32_t mPriority = 0;
  std::chrono::milliseconds mTarget{ 0 };
  double mQualityTarget = 0;
  bool mHedged = false;
};

/** The numbers of endpoints of each kind, and the slots of each endpoint. */
struct PoolSpec
{
  std::size_t mEngines = 0;
  std::uint32_t mEngineSlots = 0;
  ServiceName mService;
  std::size_t mServers = 0;
  std::uint32_t mServerSlots = 0;
};

using std::chrono::milliseconds;

ClassSpec MakeStatusCheckClass(const char* aName, double aRate, milliseconds aTarget)
{
  ClassSpec spec;
  spec.mLoad = { ClassName(aName), aRate, 60, 20, {}, false, false, 0.94, 0.99 };
  spec.mPriority = 90;
  spec.mTarget = aTarget;
  spec.mQualityTarget = 0.92;
  spec.mHedged = true;
  return spec;
}

ClassSpec MakeOrderClass(const char* aName, const ServiceName& aService, double aRate)
{
  ClassSpec spec;
  spec.mLoad = { ClassName(aName), aRate, 200, 10, aService, false, false, 1, 1 };
  spec.mPriority = 100;
  spec.mTarget = milliseconds(500);
  return spec;
}

ClassSpec MakeTextClass(const ClassLoad& aLoad,
                        std::uint32_t aPriority,
                        milliseconds aTarget,
                        double aQuality)
{
  ClassSpec spec;
  spec.mLoad = aLoad;
  spec.mPriority = aPriority;
  spec.mTarget = aTarget;
  spec.mQualityTarget = aQuality;
  return spec;
}

std::vector<ClassSpec> CallBoxClasses(const ServiceName& aService)
{
  return {
    MakeStatusCheckClass("status-check", 12, milliseconds(800)),
    MakeTextClass({ ClassName("fault-write-up"), 3, 400, 200, {}, false, false, 0.82, 0.97 },
                  50,
                  milliseconds(10000),
                  0.9),
    MakeTextClass({ ClassName("inspection-note"), 0.8, 1500, 800, {}, false, true, 0.92, 0.97 },
                  20,
                  milliseconds(60000),
                  0.88),
    MakeOrderClass("work-order", aService, 0.5),
  };
}

std::vector<ClassSpec> BookingClasses(const ServiceName& aService)
{
  return {
    MakeStatusCheckClass("slot-lookup", 22, milliseconds(900)),
    MakeTextClass({ ClassName("chat"), 12, 500, 120, {}, true, true, 0.88, 0.97 },
                  60,
                  milliseconds(3000),
                  0.85),
    MakeTextClass({ ClassName("weekly-summary"), 1, 3000, 900, {}, false, false, 0.78, 0.97 },
                  10,
                  milliseconds(60000),
                  0.9),
    MakeOrderClass("payment-confirmation", aService, 1.5),
  };
}

void AddClasses(const std::vector<ClassSpec>& aSpecs,
                const WorkloadOptions& aOptions,
                Workload& aWorkload,
                Bundle& aBundle)
{
  for (const auto& it : aSpecs) {
    RequestClass requestClass;
    requestClass.mName = it.mLoad.mClass;
    requestClass.mPriority = it.mPriority;
    requestClass.mTargetLatency = it.mTarget;
    requestClass.mQualityTarget = it.mQualityTarget;
    requestClass.mHedged = it.mHedged;
    requestClass.mIdempotent = !it.mLoad.mService;
    if (!it.mLoad.mService) {
      requestClass.mCascade = CascadeName(aOptions.mCascades ? "thrifty" : "dear-only");
    }
    aBundle.mClasses.push_back(requestClass);
    auto load = it.mLoad;
    load.mRequestsPerSecond *= aOptions.mLoad;
    aWorkload.mClasses.push_back(load);
  }
}

void AddModels(Bundle& aBundle)
{
  const ModelName cheap(kCheapModel);
  const ModelName expensive(kExpensiveModel);
  aBundle.mModels = { { expensive, kExpensivePrice, kExpensiveExpectedQuality },
                      { cheap, kCheapPrice, kCheapExpectedQuality } };
  aBundle.mVersions = {
    { VersionId(kExpensiveVersion), expensive, kExpensiveVersion, VersionState::Active },
    { VersionId(kCheapVersion), cheap, kCheapVersion, VersionState::Active },
    { VersionId(kRollingVersion), cheap, kRollingVersion, VersionState::Rolling },
  };
  aBundle.mCascades = {
    { CascadeName("thrifty"), { cheap, expensive } },
    { CascadeName("dear-only"), { expensive } },
  };
  RollPlan roll;
  roll.mName = RollName(kRoll);
  roll.mFrom = VersionId(kCheapVersion);
  roll.mTo = VersionId(kRollingVersion);
  roll.mStagePercents = { 5, 50, 100 };
  roll.mHold = std::chrono::minutes(5);
  roll.mEvidence = 200;
  aBundle.mRolls = { roll };
}

void AddTeams(const ServiceName& aService,
              const WorkloadOptions& aOptions,
              Workload& aWorkload,
              Bundle& aBundle)
{
  double requests = 0;
  double tokens = 0;
  for (const auto& it : aWorkload.mClasses) {
    requests += it.mRequestsPerSecond / aOptions.mLoad;
    tokens += it.mRequestsPerSecond / aOptions.mLoad * (it.mPromptTokens + it.mCompletionTokens);
  }
  double weights = 0;
  for (std::size_t n = 0; n < kTeams; ++n) {
    weights += 1.0 / static_cast<double>(n + 1);
  }
  for (std::size_t n = 0; n < kTeams; ++n) {
    const auto name = "team-" + std::to_string(n);
    TeamLoad load;
    load.mTeam = TeamName(name);
    load.mApiKey = "key-of-" + name;
    load.mWeight = 1.0 / static_cast<double>(n + 1) / weights;
    load.mLarge = n < kLargeTeams;
    // The cheap model gives the second largest team fewer good answers.
    load.mQualityShift = n == 1 ? -0.06 : 0;
    aWorkload.mTeams.push_back(load);

    Team team;
    team.mName = load.mTeam;
    team.mKeyHashes = { { name, Sha256Hex(name + load.mApiKey) } };
    team.mModels = { ModelName(kCheapModel), ModelName(kExpensiveModel) };
    team.mServices = { aService };
    team.mRequestsPerSecond = requests * load.mWeight * aOptions.mHeadroom;
    team.mTokensPerSecond = tokens * load.mWeight * aOptions.mHeadroom;
    team.mConcurrency = 1000;
    aBundle.mTeams.push_back(team);
  }
}

void AddEndpoints(const PoolSpec& aPool, Workload& aWorkload)
{
  const auto add = [&](const std::string& aName, EndpointKind aKind, std::uint32_t aSlots) {
    const auto n = aWorkload.mEndpoints.size();
    EndpointSpec endpoint;
    endpoint.mRecord.mId = EndpointId(aName);
    endpoint.mRecord.mAddress = "10.0.0." + std::to_string(n + 1);
    endpoint.mRecord.mPort = static_cast<std::uint16_t>(kFirstPort + n);
    endpoint.mRecord.mZone = aWorkload.mZones[n % aWorkload.mZones.size()];
    endpoint.mRecord.mKind = aKind;
    if (aKind == EndpointKind::Service) {
      endpoint.mRecord.mService = aPool.mService;
    }
    endpoint.mSlots = aSlots;
    aWorkload.mEndpoints.push_back(endpoint);
  };
  for (std::size_t n = 0; n < aPool.mEngines; ++n) {
    add("engine-" + std::to_string(n), EndpointKind::Engine, aPool.mEngineSlots);
  }
  for (std::size_t n = 0; n < aPool.mServers; ++n) {
    add("server-" + std::to_string(n), EndpointKind::Service, aPool.mServerSlots);
  }
}

} // namespace

const ClassLoad& Workload::Class(const ClassName& aName) const
{
  const auto it = std::find_if(
    mClasses.begin(), mClasses.end(), [&](const auto& aClass) { return aClass.mClass == aName; });
  assert(it != mClasses.end());
  return *it;
}

const TeamLoad& Workload::Team(const TeamName& aName) const
{
  const auto it = std::find_if(
    mTeams.begin(), mTeams.end(), [&](const auto& aTeam) { return aTeam.mTeam == aName; });
  assert(it != mTeams.end());
  return *it;
}

std::unique_ptr<Workload> MakeWorkload(const std::string& aName, const WorkloadOptions& aOptions)
{
  const bool isCallBoxes = aName == "call-boxes";
  if (!isCallBoxes && aName != "booking") {
    return nullptr;
  }
  auto workload = std::make_unique<Workload>();
  auto bundle = std::make_shared<Bundle>();
  workload->mName = aName;
  const ServiceName service(isCallBoxes ? "dispatch-desk" : "booking-desk");
  workload->mZones =
    isCallBoxes
      ? std::vector<ZoneName>{ ZoneName("northway"), ZoneName("coastpike"), ZoneName("hillroads") }
      : std::vector<ZoneName>{ ZoneName("se-mid-a"), ZoneName("se-mid-b"), ZoneName("se-mid-c") };
  const auto pool =
    isCallBoxes ? PoolSpec{ 9, 8, service, 3, 16 } : PoolSpec{ 18, 8, service, 3, 16 };
  AddEndpoints(pool, *workload);
  AddModels(*bundle);
  bundle->mServices = { { service, false, std::chrono::milliseconds(5000) } };
  AddClasses(
    isCallBoxes ? CallBoxClasses(service) : BookingClasses(service), aOptions, *workload, *bundle);
  AddTeams(service, aOptions, *workload, *bundle);
  workload->mBundle = bundle;
  return workload;
}

} // namespace skylarkchute
