#include "RouterFixture.h"

namespace skylarkchute {

namespace {

Team MakeTeam(const std::string& aName)
{
  Team team;
  team.mName = TeamName(aName);
  team.mKeyHashes = { { "salt", Sha256Hex("saltkey-" + aName) } };
  team.mModels = { ModelName("cheap"), ModelName("dear") };
  team.mServices = { ServiceName("orders"), ServiceName("lookup") };
  return team;
}

RequestClass MakeClass(const std::string& aName, std::uint32_t aPriority)
{
  RequestClass requestClass;
  requestClass.mName = ClassName(aName);
  requestClass.mPriority = aPriority;
  return requestClass;
}

Bundle MakeBundle()
{
  Bundle bundle;
  bundle.mTeams = { MakeTeam("small"), MakeTeam("large") };
  bundle.mModels = { { ModelName("cheap"), 1, 0.8 }, { ModelName("dear"), 10, 0.95 } };
  bundle.mVersions = {
    { VersionId("cheap/1"), ModelName("cheap"), "cheap-1", VersionState::Active },
    { VersionId("cheap/2"), ModelName("cheap"), "cheap-2", VersionState::Rolling },
    { VersionId("dear/1"), ModelName("dear"), "dear-1", VersionState::Active },
  };
  RollPlan roll;
  roll.mName = RollName("roll");
  roll.mFrom = VersionId("cheap/1");
  roll.mTo = VersionId("cheap/2");
  bundle.mRolls = { roll };
  auto status = MakeClass("status", 9);
  status.mHedged = true;
  auto order = MakeClass("order", 5);
  order.mIdempotent = false;
  bundle.mClasses = { MakeClass("chat", 3), status, order };
  bundle.mServices = { { ServiceName("orders"), false, std::chrono::seconds(10) },
                       { ServiceName("lookup"), true, std::chrono::seconds(10) } };
  return bundle;
}

RouterOptions MakeOptions(std::uint64_t aSeed)
{
  RouterOptions options;
  options.mZone = ZoneName("a");
  options.mSeed = aSeed;
  options.mInstance = InstanceId("instance-1");
  return options;
}

} // namespace

RouterFixture::RouterFixture(std::uint64_t aSeed)
  : mBundle(MakeBundle())
  , mRouter(MakeOptions(aSeed))
{
  ApplyBundle();
}

RouterSteps RouterFixture::ApplyBundle()
{
  return mRouter.ApplyBundle(std::make_shared<Bundle>(mBundle), mClock.Now());
}

void RouterFixture::AddEngine(const std::string& aId,
                              const std::vector<std::string>& aLabels,
                              std::uint32_t aSlots,
                              const std::string& aZone)
{
  EndpointRecord record;
  record.mId = EndpointId(aId);
  record.mAddress = "10.0.0.1";
  record.mZone = ZoneName(aZone);
  mRecords.push_back(record);
  LoadReport report;
  report.mEndpoint = record.mId;
  report.mSlots = aSlots;
  report.mHostedLabels = aLabels;
  mReports.push_back(report);
  ApplyEndpoints();
  Report(aId, 0);
}

void RouterFixture::AddService(const std::string& aId, const std::string& aService)
{
  EndpointRecord record;
  record.mId = EndpointId(aId);
  record.mKind = EndpointKind::Service;
  record.mService = ServiceName(aService);
  record.mZone = ZoneName("a");
  mRecords.push_back(record);
  ApplyEndpoints();
}

void RouterFixture::ApplyEndpoints()
{
  mRouter.ApplyEndpoints(mRecords, mClock.Now());
}

void RouterFixture::Report(const std::string& aId, std::uint32_t aRunning, bool aLeaving)
{
  for (auto& it : mReports) {
    if (it.mEndpoint == EndpointId(aId)) {
      it.mRunning = aRunning;
      it.mLeaving = aLeaving;
      mRouter.ApplyLoad(it, mClock.Now());
    }
  }
}

RequestFacts RouterFixture::MakeFacts(std::chrono::milliseconds aDeadline)
{
  RequestFacts facts;
  facts.mId = RequestId("r" + std::to_string(++mNextId));
  facts.mApiKey = "key-small";
  facts.mClass = ClassName("chat");
  facts.mKey = RequestKey(facts.mId.Value());
  facts.mFingerprint = Fingerprint("f" + std::to_string(mNextId));
  facts.mDeadline = mClock.Now() + aDeadline;
  return facts;
}

RouterSteps RouterFixture::Run(std::chrono::milliseconds aTime)
{
  RouterSteps steps;
  constexpr std::chrono::milliseconds kStep{ 10 };
  for (auto it = kStep; it <= aTime; it += kStep) {
    mClock.Advance(kStep);
    for (auto& step : mRouter.Tick(mClock.Now())) {
      steps.push_back(std::move(step));
    }
  }
  return steps;
}

AttemptOutcome RouterFixture::Outcome(AttemptEnd aEnd)
{
  AttemptOutcome outcome;
  outcome.mEnd = aEnd;
  outcome.mLatency = std::chrono::milliseconds(100);
  const bool notRun = aEnd == AttemptEnd::Refused || aEnd == AttemptEnd::ConnectFailed;
  outcome.mVerdict = notRun ? Verdict::NotRun : Verdict::MayHaveRun;
  if (aEnd == AttemptEnd::Complete) {
    outcome.mVerdict = Verdict::Ran;
  }
  return outcome;
}

RouterSteps RouterFixture::End(const DispatchStep& aStep, AttemptEnd aEnd)
{
  return mRouter.ReportOutcome(aStep.mRequest, aStep.mAttempt, Outcome(aEnd), mClock.Now());
}

} // namespace skylarkchute
