#include "Fleet.h"

#include "HttpConnection.h"

#include <Poco/Exception.h>
#include <json/json.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace skylarkchute::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{ 1000 };
constexpr milliseconds kReadinessTimeout{ 100 };
constexpr milliseconds kStartTimeout{ 20000 };
constexpr milliseconds kSampleInterval{ 500 };
constexpr milliseconds kEndpointRestart{ 1500 };
constexpr milliseconds kStopTimeout{ 12000 };
constexpr int kMaxMisses = 2;
constexpr int kFirstVersion = 10;
constexpr int kSilenceMs = 10000; // Ended before, with the fault.
constexpr int kSlowMs = 400;
constexpr milliseconds kEndpointStart{ 100 };
constexpr std::chrono::seconds kRolloutPeriod{ 6 };
constexpr milliseconds kRolloutOverrun{ 1000 };
constexpr int kGenerations = 1000; // Of an endpoint, at most, before its next version.
constexpr const char* kDrainMs = "4000";
constexpr const char* kIdleMs = "15000";
constexpr const char* kShortIdleMs = "200";
constexpr int kLargeEvery = 4; // Every fourth configuration has kMoreRoutes.
constexpr int kMoreRoutes = 400;
constexpr milliseconds kCutInterval{ 100 };

/** Forms in which the platform may state the grace period; the last one is none. */
constexpr const char* kGraces[] = { "8s", "7.5s", "8.0s", "8000.5ms", "s" };

/** Kinds whose calls the store refuses. */
constexpr const char* kBusyKinds[] = { "rollouts", "servers", "config", "relays" };

/** Ways in which the store rejects the calls of one relay. */
constexpr const char* kRejections[] = { "busy", "many", "reset", "silent" };

std::string Local(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

Json::Value Route(const std::string& aName, const std::string& aService, const std::string& aKind)
{
  Json::Value route(Json::objectValue);
  route["Name"] = aName;
  route["Host"] = "soak.example";
  route["PathPrefix"] = "/" + aName + "/";
  route["Service"] = aService;
  route["Kind"] = aKind;
  const bool isStream = aKind == "streaming";
  route["TimeoutMs"] = isStream ? 10000 : 5000;
  route["TargetLatencyMs"] = isStream ? 1000 : 500;
  route["Priority"] = aKind == "non_idempotent" ? 0 : 1;
  route["MaxAttempts"] = aKind == "non_idempotent" ? 1 : 3;
  if (isStream) {
    route["StreamResume"] = true;
    route["GapAimMs"] = 500;
  }
  return route;
}

/** Returns a configuration; beside the lasting routes it has one that is named by its version. */
Json::Value ConfigurationSpec(int aVersion, bool aHasTeams)
{
  Json::Value spec(Json::objectValue);
  spec["Version"] = aVersion;
  spec["Routes"].append(Route("notes", "note-llm", "streaming"));
  spec["Routes"].append(Route("orders", "orders", "non_idempotent"));
  spec["Routes"].append(Route("boxes", "orders", "idempotent"));
  spec["Routes"].append(Route("v" + std::to_string(aVersion), "orders", "idempotent"));
  for (int n = 0; aVersion % kLargeEvery == 0 && n < kMoreRoutes; ++n) {
    spec["Routes"].append(Route("unused" + std::to_string(n), "orders", "idempotent"));
  }
  for (const auto* it : { "note-llm", "orders" }) {
    Json::Value service(Json::objectValue);
    service["Name"] = it;
    service["HealthPath"] = "/healthz";
    service["MaxConnections"] = 100;
    spec["Services"].append(service);
  }
  spec["Limits"]["MaxHeaderBytes"] = 16384;
  spec["Limits"]["MaxBodyBytes"] = 1048576;
  spec["Limits"]["HeaderTimeoutMs"] = 5000;
  spec["Limits"]["IdleTimeoutMs"] = 20000;
  spec["Tenants"] = Json::Value(Json::arrayValue);
  if (aHasTeams) {
    spec["Tenants"][0]["Name"] = "dispatch";
    spec["Tenants"][0]["ApiKeys"].append("soak-key");
  }
  return spec;
}

std::string ToText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, aValue);
}

Json::Value ParseRecord(const std::string& aLine)
{
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  const bool isParsed = reader->parse(aLine.data(), aLine.data() + aLine.size(), &value, nullptr);
  return isParsed ? value : Json::Value();
}

std::uint64_t ResidentBytes(pid_t aId)
{
  std::ifstream in("/proc/" + std::to_string(aId) + "/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  in >> size >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t Descriptors(pid_t aId)
{
  std::error_code error;
  const std::filesystem::directory_iterator files("/proc/" + std::to_string(aId) + "/fd", error);
  return error ? 0 : static_cast<std::uint64_t>(std::distance(begin(files), end(files)));
}

TimePoint FromMicroseconds(std::int64_t aMicroseconds)
{
  return TimePoint(std::chrono::microseconds(aMicroseconds));
}

bool IsRelayFault(FaultKind aKind)
{
  return aKind == FaultKind::RelayPaused || aKind == FaultKind::RelayKilled ||
         aKind == FaultKind::RelayStopped || aKind == FaultKind::RelayReloaded;
}

bool IsStoreFault(FaultKind aKind)
{
  return aKind == FaultKind::StoreSilent || aKind == FaultKind::StoreBusy ||
         aKind == FaultKind::StoreSlow || aKind == FaultKind::StoreForgetting ||
         aKind == FaultKind::StoreRestored || aKind == FaultKind::StoreKindBusy ||
         aKind == FaultKind::StoreLosing || aKind == FaultKind::StoreRejecting ||
         aKind == FaultKind::StoreRationing;
}

/** Returns whether clients are owed an answer although the endpoint does this. */
bool IsHarmless(FaultKind aKind)
{
  return aKind == FaultKind::EndpointSilent || aKind == FaultKind::EndpointLeaving ||
         aKind == FaultKind::EndpointLimited || aKind == FaultKind::EndpointPausing ||
         aKind == FaultKind::EndpointDeparting;
}

/** Returns the switches of the endpoint stand-in for a fault; with its end those that undo it. */
std::string EndpointSwitches(FaultKind aKind, bool aIsBegin)
{
  Json::Value switches(Json::objectValue);
  switch (aKind) {
    case FaultKind::EndpointSilent:
      switches["silent_ms"] = aIsBegin ? kSilenceMs : 0;
      break;
    case FaultKind::EndpointSlow:
      switches["slow_ms"] = aIsBegin ? kSlowMs : 0;
      break;
    case FaultKind::EndpointFailing:
      switches["error_status"] = aIsBegin ? 500 : 0;
      break;
    case FaultKind::EndpointBreaking:
      switches["break_after"] = aIsBegin ? 2 : 0;
      break;
    case FaultKind::EndpointLimited:
      switches["limit"] = aIsBegin ? 5 : 0;
      break;
    case FaultKind::EndpointPausing:
      switches["pause_s"] = aIsBegin ? 1 : 0;
      break;
    case FaultKind::EndpointDeparting:
      switches["leaving"] = aIsBegin;
      break;
    case FaultKind::EndpointIll:
      switches["ill"] = aIsBegin;
      break;
    default:
      break;
  }
  return ToText(switches);
}

} // namespace

Fleet::Fleet(std::string aBuild, std::string aProgram, std::string aWork, std::uint32_t aRelays)
  : mBuild(std::move(aBuild))
  , mProgram(std::move(aProgram))
  , mWork(std::move(aWork))
{
  for (std::uint32_t n = 1; n <= aRelays; ++n) {
    Relay relay;
    relay.mName = "relay-" + std::to_string(n);
    for (auto* port : { &relay.mCallerPort,
                        &relay.mReadyPort,
                        &relay.mPeerPort,
                        &relay.mForwardPort,
                        &relay.mStorePort }) {
      *port = mPorts.Next();
    }
    mRelays.push_back(std::move(relay));
  }
  StartStore();
  for (const auto* service : { "note-llm", "orders" }) {
    for (int n = 1; n <= 3; ++n) {
      mEndpoints.push_back({ std::string(service) + "-" + std::to_string(n), service, "v1" });
    }
  }
  for (auto& it : mEndpoints) {
    StartEndpoint(it);
  }
  Configure(true);
  mSeeds = Local(mRelays.front().mPeerPort);
  for (auto& it : mRelays) {
    StartRelay(it);
  }
  AwaitReadiness();
}

void Fleet::StartStore()
{
  const auto log = mWork + "/store.log";
  std::vector<std::string> command{ mBuild + "/standins/skylarkchute-standins", "users-store" };
  for (const auto& it : mRelays) {
    command.insert(command.end(), { "--also-port", std::to_string(it.mStorePort) });
  }
  mStore = std::make_unique<ChildProcess>(command, log);
  mStorePort = AwaitPort(*mStore, log);
}

/** Starts an endpoint. Every second start has a new name and port, the others keep both. */
void Fleet::StartEndpoint(Endpoint& aEndpoint)
{
  const auto identity = aEndpoint.mGeneration / 2;
  const bool keepsPort = aEndpoint.mGeneration % 2 == 1;
  const auto id = aEndpoint.mName + "-" + std::to_string(identity);
  const auto log =
    mWork + "/" + aEndpoint.mName + "-" + std::to_string(aEndpoint.mGeneration) + ".endpoint-log";
  const auto port = keepsPort ? aEndpoint.mPort : mPorts.Next();
  aEndpoint.mProcess = std::make_unique<ChildProcess>(
    std::vector<std::string>{ mBuild + "/standins/skylarkchute-standins",
                              "users-endpoint",
                              "--port",
                              std::to_string(port),
                              "--store",
                              std::to_string(mStorePort),
                              "--id",
                              id,
                              "--service",
                              aEndpoint.mService,
                              "--zone",
                              "zone-a",
                              "--version",
                              aEndpoint.mVersion,
                              "--event-ms",
                              "30",
                              "--drain-ms",
                              kDrainMs,
                              "--idle-ms",
                              identity % 2 == 1 ? kShortIdleMs : kIdleMs,
                              "--record-file",
                              mWork + "/" + aEndpoint.mName + ".runs" },
    log);
  aEndpoint.mPort = port;
  ++aEndpoint.mGeneration;
  aEndpoint.mIsLeaving = false;
  aEndpoint.mCrashingPart.clear();
  aEndpoint.mRestartAt.reset();
}

std::string Fleet::SettingsFile(const Relay& aRelay) const
{
  return mWork + "/" + aRelay.mName + ".ini";
}

void Fleet::WriteSettings(const Relay& aRelay) const
{
  std::ofstream out(SettingsFile(aRelay));
  out << "[instance]\nname = " << aRelay.mName
      << "\nzone = zone-a\n[listen]\ncallers = " << Local(aRelay.mCallerPort)
      << "\nready = " << Local(aRelay.mReadyPort) << "\npeers = " << Local(aRelay.mPeerPort)
      << "\nforwarded = " << Local(aRelay.mForwardPort)
      << "\n[platform]\nstore = " << Local(aRelay.mStorePort) << "\nseeds = " << mSeeds
      << "\n[retries]\nratio = 0.9\nslack = 58\nwindow = 10s\n[rollouts]\nexposed_share = 0.15\n"
         "exposed_slack = 30\n[shutdown]\ngrace = "
      << aRelay.mGrace << "\n[log]\nlevel = info\n";
}

void Fleet::StartRelay(Relay& aRelay)
{
  WriteSettings(aRelay);
  const auto log = mWork + "/" + aRelay.mName + ".log";
  aRelay.mProcess = std::make_unique<ChildProcess>(
    std::vector<std::string>{ mProgram, "relay", "--settings", SettingsFile(aRelay) }, log);
  aRelay.mRestartAt.reset();
  aRelay.mLife = mEvidence.mLives.size();
  Life life;
  life.mRelay = aRelay.mName;
  life.mBegin = Clock::now();
  mEvidence.mLives.push_back(life);
}

/** Waits until a stand-in has printed its port. */
std::uint16_t Fleet::AwaitPort(ChildProcess& aProcess, const std::string& aLogFile) const
{
  const std::string marker = "listening 127.0.0.1:";
  const auto end = Clock::now() + kStartTimeout;
  while (Clock::now() < end && !aProcess.WaitStatus()) {
    std::ifstream in(aLogFile);
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with(marker) && !in.eof()) {
        return static_cast<std::uint16_t>(std::stoul(line.substr(marker.size())));
      }
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  throw std::runtime_error("a stand-in does not start, see " + aLogFile);
}

void Fleet::AwaitReadiness()
{
  const auto end = Clock::now() + kStartTimeout;
  while (Clock::now() < end) {
    SampleReadiness();
    if (std::all_of(mRelays.begin(), mRelays.end(), [](const Relay& aRelay) {
          return aRelay.mProcess && aRelay.mMisses == 0;
        })) {
      return;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  throw std::runtime_error("the relays do not become ready");
}

bool Fleet::SetSwitch(std::uint16_t aPort, const std::string& aSwitches) const
{
  return CallOnce(aPort, "PUT", "/standin/switches", aSwitches, kCallTimeout).mStatus == 200;
}

/** Writes the next configuration, as the operator. It counts as acknowledged if the store answers.
 */
void Fleet::Configure(bool aHasTeams)
{
  const int version = mVersion == 0 ? kFirstVersion : mVersion + 1;
  Json::Value body(Json::objectValue);
  body["Metadata"]["Name"] = "main";
  body["Spec"] = ConfigurationSpec(version, aHasTeams);
  Configuration configuration;
  configuration.mVersion = version;
  configuration.mHasTeams = aHasTeams;
  configuration.mSent = Clock::now();
  auto status =
    CallOnce(mStorePort, "PUT", "/skylarkchute/objects/config/main", ToText(body), kCallTimeout)
      .mStatus;
  if (status == 404) {
    status =
      CallOnce(mStorePort, "POST", "/skylarkchute/objects/config", ToText(body), kCallTimeout)
        .mStatus;
  }
  mVersion = version;
  const bool isAcknowledged = status == 200 || status == 201;
  configuration.mAcknowledged = isAcknowledged ? Clock::now() : TimePoint::max() - kStartTimeout;
  mEvidence.mConfigurations.push_back(configuration);
  mAwaitsTeams = aHasTeams && !isAcknowledged;
}

void Fleet::Disturb(Subject aSubject, const std::string& aName, TimePoint aBegin)
{
  mOpenDisturbances[{ aSubject, aName }].push_back(aBegin);
}

void Fleet::Calm(Subject aSubject, const std::string& aName)
{
  auto& open = mOpenDisturbances[{ aSubject, aName }];
  if (!open.empty()) {
    mEvidence.mDisturbances.push_back({ aSubject, aName, open.back(), Clock::now() });
    open.pop_back();
  }
}

bool Fleet::Begin(const Fault& aFault)
{
  if (IsRelayFault(aFault.mKind)) {
    return BeginRelayFault(aFault);
  }
  if (IsStoreFault(aFault.mKind)) {
    BeginStoreFault(aFault);
    return true;
  }
  if (aFault.mKind == FaultKind::Configured || aFault.mKind == FaultKind::TeamsRemoved) {
    Configure(aFault.mKind == FaultKind::Configured);
    return true;
  }
  if (aFault.mKind == FaultKind::RelaysKilled) {
    KillRelays();
    return true;
  }
  if (aFault.mKind == FaultKind::StoreCutting) {
    ++mOpenCuts;
    return true;
  }
  if (aFault.mKind == FaultKind::RolledOut) {
    return BeginRollout(aFault);
  }
  if (aFault.mKind == FaultKind::PartCrashing) {
    BeginCrashes();
    return true;
  }
  return BeginEndpointFault(aFault);
}

bool Fleet::BeginRelayFault(const Fault& aFault)
{
  auto& relay = mRelays[aFault.mTarget % mRelays.size()];
  if (!relay.mProcess || relay.mProcess->WaitStatus()) {
    return false;
  }
  auto& life = mEvidence.mLives[relay.mLife];
  switch (aFault.mKind) {
    case FaultKind::RelayPaused:
      Disturb(Subject::Relay, relay.mName, Clock::now());
      relay.mProcess->Signal(SIGSTOP);
      break;
    case FaultKind::RelayKilled:
      Disturb(Subject::Relay, relay.mName, Clock::now());
      life.mKilled = Clock::now();
      relay.mProcess->Signal(SIGKILL);
      break;
    case FaultKind::RelayStopped:
      if (life.mStopped) {
        return false;
      }
      life.mStopped = Clock::now();
      relay.mProcess->Signal(SIGTERM);
      break;
    default:
      // No program can keep SIGHUP from ending it before its main function runs.
      if (Clock::now() < life.mBegin + kLoadTime) {
        return false;
      }
      relay.mGrace = kGraces[aFault.mTarget / mRelays.size() % std::size(kGraces)];
      WriteSettings(relay);
      mEvidence.mReloads.push_back(Clock::now());
      relay.mProcess->Signal(SIGHUP);
      break;
  }
  return true;
}

void Fleet::KillRelays()
{
  for (auto& it : mRelays) {
    if (it.mProcess && !it.mProcess->WaitStatus()) {
      Disturb(Subject::Relay, it.mName, Clock::now());
      mEvidence.mLives[it.mLife].mKilled = Clock::now();
      it.mProcess->Signal(SIGKILL);
    }
  }
}

bool Fleet::BeginEndpointFault(const Fault& aFault)
{
  auto& endpoint = mEndpoints[aFault.mTarget % mEndpoints.size()];
  if (!endpoint.mProcess || endpoint.mProcess->WaitStatus() || endpoint.mIsLeaving) {
    return false;
  }
  if (aFault.mKind == FaultKind::EndpointUnregistering &&
      !SetSwitch(endpoint.mPort, R"({"unregister":true})")) {
    return false;
  }
  if (aFault.mKind == FaultKind::EndpointLeaving ||
      aFault.mKind == FaultKind::EndpointUnregistering) {
    endpoint.mIsLeaving = true;
    endpoint.mProcess->Signal(SIGTERM);
    return true;
  }
  if (!IsHarmless(aFault.mKind)) {
    Disturb(Subject::Endpoint, endpoint.mName, Clock::now());
  }
  if (aFault.mKind == FaultKind::EndpointKilled) {
    endpoint.mProcess->Signal(SIGKILL);
    return true;
  }
  SetEndpointSwitches(aFault, true);
  return true;
}

/** Begins or ends a fault at an endpoint; pauses, limits and half of the silences at all endpoints
   of its service. */
void Fleet::SetEndpointSwitches(const Fault& aFault, bool aIsBegin)
{
  const auto& endpoint = mEndpoints[aFault.mTarget % mEndpoints.size()];
  const bool isUpperHalf = aFault.mTarget / mEndpoints.size() % 2 == 1;
  const bool isForService = aFault.mKind == FaultKind::EndpointPausing ||
                            aFault.mKind == FaultKind::EndpointLimited ||
                            (aFault.mKind == FaultKind::EndpointSilent && isUpperHalf);
  for (const auto& it : mEndpoints) {
    if (&it == &endpoint || (isForService && it.mService == endpoint.mService)) {
      SetSwitch(it.mPort, EndpointSwitches(aFault.mKind, aIsBegin));
    }
  }
}

void Fleet::BeginStoreFault(const Fault& aFault)
{
  Disturb(Subject::Store, "store", Clock::now());
  switch (aFault.mKind) {
    case FaultKind::StoreSilent:
      SetSwitch(mStorePort, R"({"silent":true})");
      break;
    case FaultKind::StoreBusy:
      SetSwitch(mStorePort, R"({"busy":true})");
      break;
    case FaultKind::StoreSlow:
      SetSwitch(mStorePort, R"({"slow_ms":300})");
      break;
    case FaultKind::StoreForgetting:
      CallOnce(mStorePort, "DELETE", "/standin/history", "", kCallTimeout);
      break;
    case FaultKind::StoreKindBusy:
      SetSwitch(mStorePort,
                std::string(R"({"busy_kind":")") +
                  kBusyKinds[aFault.mTarget % std::size(kBusyKinds)] + R"("})");
      break;
    case FaultKind::StoreLosing:
      SetSwitch(mStorePort, R"({"lose_writes":true})");
      break;
    case FaultKind::StoreRejecting:
      SetSwitch(mStorePort, RejectionSwitches(aFault));
      break;
    case FaultKind::StoreRationing:
      SetSwitch(mStorePort, R"({"calls_per_s":3})");
      break;
    default:
      CallOnce(mStorePort, "POST", "/standin/copy", "", kCallTimeout);
      break;
  }
}

/** Returns the switches of the store stand-in with which it rejects the calls of one relay. */
std::string Fleet::RejectionSwitches(const Fault& aFault) const
{
  const auto turn = aFault.mTarget / mRelays.size();
  Json::Value switches(Json::objectValue);
  switches["reject_port"] = mRelays[aFault.mTarget % mRelays.size()].mStorePort;
  switches["reject_how"] = kRejections[turn % std::size(kRejections)];
  return ToText(switches);
}

void Fleet::BeginCrashes()
{
  const auto part = "c0ffee" + std::to_string(++mCrashes);
  Disturb(Subject::Endpoint, "crashes", Clock::now());
  const std::lock_guard lock(mMutex);
  mCrashingPart = part;
}

void Fleet::End(const Fault& aFault)
{
  auto& relay = mRelays[aFault.mTarget % mRelays.size()];
  auto& endpoint = mEndpoints[aFault.mTarget % mEndpoints.size()];
  switch (aFault.mKind) {
    case FaultKind::RelayPaused:
      relay.mProcess->Signal(SIGCONT);
      Calm(Subject::Relay, relay.mName);
      break;
    case FaultKind::StoreSilent:
      SetSwitch(mStorePort, R"({"silent":false})");
      Calm(Subject::Store, "store");
      break;
    case FaultKind::StoreBusy:
      SetSwitch(mStorePort, R"({"busy":false})");
      Calm(Subject::Store, "store");
      break;
    case FaultKind::StoreSlow:
      SetSwitch(mStorePort, R"({"slow_ms":0})");
      Calm(Subject::Store, "store");
      break;
    case FaultKind::StoreForgetting:
      Calm(Subject::Store, "store");
      break;
    case FaultKind::StoreKindBusy:
      SetSwitch(mStorePort, R"({"busy_kind":""})");
      Calm(Subject::Store, "store");
      break;
    case FaultKind::StoreLosing:
      SetSwitch(mStorePort, R"({"lose_writes":false})");
      Calm(Subject::Store, "store");
      break;
    case FaultKind::StoreRationing:
      SetSwitch(mStorePort, R"({"calls_per_s":0})");
      Calm(Subject::Store, "store");
      break;
    case FaultKind::StoreRejecting:
      SetSwitch(mStorePort, R"({"reject_port":0})");
      Calm(Subject::Store, "store");
      break;
    case FaultKind::StoreCutting:
      --mOpenCuts;
      break;
    case FaultKind::TeamsRemoved:
      Configure(true);
      break;
    case FaultKind::StoreRestored:
      CallOnce(mStorePort, "POST", "/standin/restore", "", kCallTimeout);
      Configure(true);
      Calm(Subject::Store, "store");
      break;
    case FaultKind::PartCrashing: {
      Calm(Subject::Endpoint, "crashes");
      const std::lock_guard lock(mMutex);
      mCrashingPart.clear();
      break;
    }
    case FaultKind::EndpointSilent:
    case FaultKind::EndpointLimited:
    case FaultKind::EndpointPausing:
    case FaultKind::EndpointDeparting:
      SetEndpointSwitches(aFault, false);
      break;
    case FaultKind::EndpointSlow:
    case FaultKind::EndpointFailing:
    case FaultKind::EndpointBreaking:
    case FaultKind::EndpointIll:
      SetEndpointSwitches(aFault, false);
      Calm(Subject::Endpoint, endpoint.mName);
      break;
    default:
      break; // Ended processes are started again by Tick().
  }
}

void Fleet::Tick()
{
  SuperviseRelays();
  SuperviseEndpoints();
  if (mOpenCuts > 0 && Clock::now() >= mNextCut) {
    mNextCut = Clock::now() + kCutInterval;
    CallOnce(mStorePort, "DELETE", "/standin/watches", "", kCallTimeout);
  }
  if (Clock::now() >= mNextSample) {
    mNextSample = Clock::now() + kSampleInterval;
    if (mAwaitsTeams) {
      Configure(true);
    }
    SuperviseRollout();
    SampleReadiness();
    SampleResources(false);
  }
}

/** Starts the endpoints of a new version and orders its roll-out. One is under way at a time. */
bool Fleet::BeginRollout(const Fault& aFault)
{
  if (!mNewEndpoints.empty()) {
    return false;
  }
  const auto number = static_cast<int>(mEvidence.mRollouts.size()) + 2;
  Rollout rollout;
  rollout.mService = mEndpoints[aFault.mTarget % mEndpoints.size()].mService;
  // The names of new versions sort before those of older ones and after them.
  rollout.mVersion = (aFault.mTarget / 2 % 2 == 0 ? "v" : "u") + std::to_string(number);
  rollout.mIsBad = aFault.mTarget % 2 == 1;
  for (const auto& it : mEndpoints) {
    if (it.mService == rollout.mService) {
      mNewEndpoints.push_back({ it.mName, it.mService, rollout.mVersion, number * kGenerations });
      StartEndpoint(mNewEndpoints.back());
    }
  }
  std::this_thread::sleep_for(kEndpointStart);
  for (const auto& it : mNewEndpoints) {
    if (rollout.mIsBad && !SetSwitch(it.mPort, R"({"error_status":500})")) {
      throw std::runtime_error("an endpoint of a new version does not start");
    }
  }
  Json::Value body(Json::objectValue);
  body["Metadata"]["Name"] = rollout.mService;
  body["Spec"]["Service"] = rollout.mService;
  body["Spec"]["Target"] = rollout.mVersion;
  body["Spec"]["PeriodS"] = static_cast<int>(kRolloutPeriod.count());
  rollout.mOrdered = Clock::now();
  const std::string kind = "/skylarkchute/objects/rollouts";
  if (CallOnce(mStorePort, "PUT", kind + "/" + rollout.mService, ToText(body), kCallTimeout)
        .mStatus == 404) {
    CallOnce(mStorePort, "POST", kind, ToText(body), kCallTimeout);
  }
  rollout.mDeadline = Clock::now() + kRolloutPeriod;
  mEvidence.mRollouts.push_back(rollout);
  return true;
}

/** Returns the state that the relays have written for a roll-out, empty if none. */
std::string Fleet::RolloutState(const Rollout& aRollout) const
{
  const auto answer = CallOnce(
    mStorePort, "GET", "/skylarkchute/objects/rollouts/" + aRollout.mService, "", kCallTimeout);
  const auto object = answer.mIsComplete ? ParseRecord(answer.mBody) : Json::Value();
  if (!object.isObject() || !object["Status"].isObject() ||
      object["Status"]["Target"].asString() != aRollout.mVersion) {
    return {};
  }
  return object["Status"]["State"].asString();
}

/** Stops the old endpoints of a completed roll-out at once, or lets the new ones leave. */
void Fleet::SuperviseRollout()
{
  if (mNewEndpoints.empty()) {
    return;
  }
  auto& rollout = mEvidence.mRollouts.back();
  rollout.mState = RolloutState(rollout);
  if (rollout.mState == "completed") {
    ReplaceEndpoints();
    mNewEndpoints.clear();
  } else if (rollout.mState == "rolled_back" ||
             Clock::now() > rollout.mDeadline + kRolloutOverrun) {
    for (auto& it : mNewEndpoints) {
      it.mProcess->Signal(SIGTERM);
      mLeavingProcesses.push_back(std::move(it.mProcess));
    }
    mNewEndpoints.clear();
  }
}

void Fleet::ReplaceEndpoints()
{
  for (auto& added : mNewEndpoints) {
    const auto old =
      std::find_if(mEndpoints.begin(), mEndpoints.end(), [&](const Endpoint& aEndpoint) {
        return aEndpoint.mName == added.mName;
      });
    *old = std::move(added);
  }
}

void Fleet::SuperviseRelays()
{
  const auto now = Clock::now();
  for (auto& it : mRelays) {
    auto& life = mEvidence.mLives[it.mLife];
    const auto status = it.mProcess->WaitStatus();
    if (!status) {
      if (life.mStopped && !life.mKilled && now > *life.mStopped + kStopTimeout) {
        life.mKilled = now;
        it.mProcess->Signal(SIGKILL);
      }
      continue;
    }
    if (!life.mEnd) {
      life.mEnd = now;
      life.mWaitStatus = *status;
      it.mRestartAt = now + milliseconds(500);
    } else if (it.mRestartAt && now >= *it.mRestartAt) {
      StartRelay(it);
      Calm(Subject::Relay, it.mName);
    }
  }
}

void Fleet::SuperviseEndpoints()
{
  const auto now = Clock::now();
  for (auto& it : mEndpoints) {
    if (!it.mProcess->WaitStatus()) {
      const auto part = CrashingPart();
      if (it.mCrashingPart != part && SetSwitch(it.mPort, R"({"crash_part":")" + part + R"("})")) {
        it.mCrashingPart = part;
      }
      continue;
    }
    if (!it.mRestartAt) {
      it.mRestartAt = now + kEndpointRestart;
    } else if (now >= *it.mRestartAt) {
      StartEndpoint(it);
      Calm(Subject::Endpoint, it.mName);
    }
  }
}

void Fleet::SampleReadiness()
{
  std::vector<RelayPort> ready;
  for (auto& it : mRelays) {
    ReadinessAnswer answer;
    answer.mRelay = it.mName;
    answer.mAsked = Clock::now();
    answer.mIsReady =
      CallOnce(it.mReadyPort, "GET", "/skylarkchute/readyz", "", kReadinessTimeout).mStatus == 200;
    it.mMisses = answer.mIsReady ? 0 : it.mMisses + 1;
    if (it.mMisses < kMaxMisses) {
      ready.push_back({ it.mName, it.mCallerPort });
    }
    mEvidence.mReadiness.push_back(answer);
  }
  if (ready.empty()) {
    for (const auto& it : mRelays) {
      ready.push_back({ it.mName, it.mCallerPort });
    }
  }
  const std::lock_guard lock(mMutex);
  mReady = std::move(ready);
}

void Fleet::SampleResources(bool aIsFinal)
{
  for (auto& it : mRelays) {
    if (it.mProcess->WaitStatus()) {
      continue;
    }
    ResourceSample sample;
    sample.mRelay = it.mName;
    sample.mAt = Clock::now();
    sample.mResidentBytes = ResidentBytes(it.mProcess->Id());
    sample.mDescriptors = Descriptors(it.mProcess->Id());
    sample.mIsFinal = aIsFinal;
    mEvidence.mResources.push_back(sample);
  }
}

void Fleet::SampleIdleRelays()
{
  SampleResources(true);
}

std::vector<Fleet::RelayPort> Fleet::ReadyRelays() const
{
  const std::lock_guard lock(mMutex);
  return mReady;
}

std::string Fleet::CrashingPart() const
{
  const std::lock_guard lock(mMutex);
  return mCrashingPart;
}

/** Reads what the endpoints recorded. */
void Fleet::ReadRecords()
{
  for (const auto& endpoint : mEndpoints) {
    std::ifstream in(mWork + "/" + endpoint.mName + ".runs");
    for (std::string line; std::getline(in, line);) {
      const auto record = ParseRecord(line);
      if (!record.isObject()) {
        continue; // Cut off by a SIGKILL.
      }
      if (record["draining"].asBool()) {
        mEvidence.mDrainedEndpoints.push_back(record["endpoint"].asString());
        continue;
      }
      Run run;
      run.mId = record["id"].asString();
      run.mEndpoint = record["endpoint"].asString();
      run.mVersion = record["version"].asString();
      run.mIsCrash = record["crash"].asBool();
      run.mPath = record["path"].asString();
      run.mBody = record["body"].asString();
      run.mParts = record["part"].asString();
      run.mAt = FromMicroseconds(record["at_us"].asInt64());
      if (record.isMember("draining_ms")) {
        run.mDraining = milliseconds(record["draining_ms"].asInt64());
      }
      mEvidence.mRuns.push_back(run);
    }
  }
}

void Fleet::Finish(Evidence& aOut)
{
  const auto now = Clock::now();
  for (const auto& [key, begins] : mOpenDisturbances) {
    for (const auto begin : begins) {
      mEvidence.mDisturbances.push_back({ key.first, key.second, begin, now });
    }
  }
  for (auto& it : mRelays) {
    it.mProcess.reset();
  }
  for (auto& it : mEndpoints) {
    it.mProcess.reset();
  }
  mNewEndpoints.clear();
  mLeavingProcesses.clear();
  mStore.reset();
  ReadRecords();
  aOut = std::move(mEvidence);
}

} // namespace skylarkchute::soak
