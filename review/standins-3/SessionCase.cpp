// A rollout of a sound version while sessions pause for up to SessionS.
#include "Kit.h"

#include <algorithm>

using namespace kit;

namespace {

constexpr double kSession = 8.5; // SessionS of boxline-fleet-grown
constexpr double kPause = 7;     // Between two requests of a session.
constexpr double kPeriod = 40;   // PeriodS of the order.
constexpr int kThreads = 24;
constexpr int kSubjects = 10; // For each thread.

std::atomic<bool> gIsEnding{ false };

struct Run
{
  double mBegin = 0;
  double mEnd = 0;
  std::string mVersion;
};

std::mutex gRunMutex;
std::map<std::string, std::vector<Run>> gRuns; // By session.

/** Returns the last shared part of a prompt, which names the session. */
std::string SessionOf(const Message& aRequest)
{
  const auto parts = aRequest.Header("skylarkchute-prompt-prefix");
  const auto first = parts.find(',');
  return parts.substr(first + 1, parts.find(':', first) - first - 1);
}

bool Serve(int aSocket, const Message& aRequest, Endpoint& aSelf, const std::string& aVersion)
{
  Run run{ Seconds(), 0, aVersion };
  bool isSent = SendAll(aSocket,
                        aSelf.Head(200, aRequest) +
                          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int n = 1; n <= 2 && isSent; ++n) {
    const auto event = "id: " + std::to_string(n) + "\ndata: piece\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    SleepMs(10);
    isSent = SendAll(aSocket, size + event + "\r\n");
  }
  isSent = isSent && SendAll(aSocket, "0\r\n\r\n");
  run.mEnd = Seconds();
  const std::lock_guard lock(gRunMutex);
  gRuns[SessionOf(aRequest)].push_back(run);
  return isSent;
}

/** Sends a request of each of its sessions every kPause, one after the other. */
void RunClient(const Relay& aRelay, int aNumber)
{
  Client client(aRelay.CallerPort(), aRelay.Ip());
  SleepMs(29 * aNumber);
  auto next = Clock::now();
  for (int n = 0; !gIsEnding; n = (n + 1) % kSubjects) {
    std::this_thread::sleep_until(next);
    next += Ms(static_cast<int>(1000 * kPause / kSubjects));
    char session[16];
    std::snprintf(session, sizeof(session), "%04x%04x", aNumber + 1, n + 1);
    client.Ask("POST /note/ HTTP/1.1\r\nHost: desk.example\r\nSkylarkchute-Request-Id: " + NewId() +
                 "\r\nSkylarkchute-Deadline-Ms: 12000\r\nSkylarkchute-Credential: key-1\r\n"
                 "Skylarkchute-Model: m\r\nSkylarkchute-Token-Counts: 120,16\r\n"
                 "Skylarkchute-Prompt-Prefix: 5c1e07a2:60," +
                 session + ":40," + NewId() + ":20\r\nContent-Length: 6\r\n\r\n",
               "prompt");
  }
}

} // namespace

int main(int, char** aArguments)
{
  OpenRecord(aArguments[1]);
  Store store;
  Json::Value config;
  config["Version"] = 3;
  Json::Value route;
  route["Name"] = "note";
  route["Host"] = "desk.example";
  route["PathPrefix"] = "/note/";
  route["Kind"] = "streaming";
  route["TimeoutMs"] = 12000;
  route["TargetLatencyMs"] = 2000;
  route["GapAimMs"] = 1000;
  route["Priority"] = 1;
  route["Service"] = "model";
  route["MaxAttempts"] = 3;
  route["Public"] = false;
  route["SessionAffinity"] = true;
  route["StreamResume"] = true;
  config["Routes"].append(route);
  Json::Value service;
  service["Name"] = "model";
  service["HealthPath"] = "/healthz";
  service["MaxConnections"] = 540;
  config["Services"].append(service);
  Json::Value tenant;
  tenant["Name"] = "town";
  tenant["ApiKeys"].append("key-1");
  config["Tenants"].append(tenant);
  store.Put("config", "main", config);

  std::vector<std::unique_ptr<Endpoint>> servers;
  const auto add = [&](int aNumber, const std::string& aVersion) {
    servers.push_back(
      std::make_unique<Endpoint>(store,
                                 "i-" + aVersion + "-" + std::to_string(aNumber),
                                 "model",
                                 "z" + std::to_string(aNumber),
                                 aVersion,
                                 [aVersion](int aSocket, const Message& aRequest, Endpoint& aSelf) {
                                   return Serve(aSocket, aRequest, aSelf, aVersion);
                                 }));
    servers.back()->Register();
  };
  for (int n = 1; n <= 3; ++n) {
    add(n, "v1");
  }
  std::vector<std::unique_ptr<Relay>> relays;
  std::string seeds;
  const auto net = LoopbackNet();
  for (int n = 1; n <= 3; ++n) {
    const auto number = std::to_string(n);
    relays.push_back(
      std::make_unique<Relay>("relay-" + number, "z" + number, store.Port(), net + number));
    seeds +=
      (n > 1 ? "," : "") + relays.back()->Ip() + ":" + std::to_string(relays.back()->PeerPort());
  }
  for (auto& it : relays) {
    it->WriteSettings(TemplateSettings(*it,
                                       seeds,
                                       { { "Bounds.SessionS", "8.5" },
                                         { "Bounds.BudgetSlack", "182" },
                                         { "Bounds.ExposeShare", "0.0975" } }));
    it->Launch();
  }
  for (auto& it : relays) {
    if (!it->WaitReady(10)) {
      Record("a relay does not become ready");
      Finish(2);
    }
  }
  std::vector<std::thread> clients;
  for (int n = 0; n < kThreads; ++n) {
    clients.emplace_back([&relays, n] { RunClient(*relays[n % relays.size()], n); });
  }
  SleepMs(16000);

  const double order = Seconds();
  if (HasTrouble()) {
    Json::Value spec;
    spec["Service"] = "model";
    spec["Target"] = "v2";
    spec["PeriodS"] = kPeriod;
    store.Put("rollouts", "model", spec);
    Record("the operator orders version v2, PeriodS " + std::to_string(int(kPeriod)));
    SleepMs(300);
    for (int n = 1; n <= 3; ++n) {
      add(n, "v2");
    }
  }
  SleepMs(static_cast<int>(1000 * (order + kPeriod / 2 - Seconds())));
  gIsEnding = true;
  for (auto& it : clients) {
    it.join();
  }

  int all = 0;
  int moved = 0;
  const std::lock_guard lock(gRunMutex);
  for (const auto& [session, runs] : gRuns) {
    for (std::size_t n = 1; n < runs.size(); ++n) {
      const double pause = runs[n].mBegin - runs[n - 1].mEnd;
      const bool isInFirstHalf = runs[n].mBegin >= order && runs[n].mBegin < order + kPeriod / 2;
      if (!isInFirstHalf || pause >= kSession) {
        continue;
      }
      ++all;
      if (runs[n].mVersion == "v2" && runs[n - 1].mVersion == "v1") {
        ++moved;
        Record("session " + session + " runs on v2 at " + std::to_string(runs[n].mBegin) + ", " +
               std::to_string(pause) + " s after it ran on v1");
      }
    }
  }
  Record(
    std::to_string(moved) + " of " + std::to_string(all) +
    " requests within SessionS of the one before ran on the new version in the first half of its "
    "rollout, and the one before on the old one");
  Record(moved > 3 ? "PINNED is broken" : "PINNED holds");
  Finish(moved > 3 ? 1 : 0);
}
