// All relay processes are killed at once and start again while a rollout is running.
#include "Kit.h"

#include <algorithm>

using namespace kit;

namespace {

constexpr double kPeriod = 24;      // PeriodS of the order.
constexpr double kLate = 13;        // The version turns bad so long after its start.
constexpr double kStable = 3;       // StableMs
constexpr double kShare = 0.15;     // ExposeShare
constexpr double kSlack = 30;       // ExposeSlack
constexpr double kRollback = 5;     // RollbackMs
constexpr double kDrainAfter = 3.3; // "the new servers drain some seconds later", as on the bench
constexpr double kKillAt = 1.5;
constexpr int kClients = 12; // For each zone.

std::atomic<bool> gIsEnding{ false };
std::atomic<double> gOrder{ 1e9 };
std::atomic<unsigned> gAnswers{ 0 };
std::mutex gBadMutex;
std::vector<double> gBad;

bool Serve(int aSocket, const Message& aRequest, Endpoint& aSelf, bool aIsNew)
{
  SleepMs(15);
  const bool isBad = aIsNew && Seconds() >= gOrder + kLate && gAnswers++ % 2 == 0;
  if (isBad) {
    const std::lock_guard lock(gBadMutex);
    gBad.push_back(Seconds());
  }
  const std::string body(800, 'x');
  return SendAll(aSocket,
                 aSelf.Head(isBad ? 500 : 200, aRequest) +
                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/** Sends a request each 300 ms; where the relay does not accept it, again after 20 ms. */
void RunClient(const Relay& aRelay, int aNumber)
{
  Client client(aRelay.CallerPort());
  SleepMs(25 * aNumber);
  while (!gIsEnding) {
    const auto answer =
      client.Ask("GET /check/?via=" + aRelay.Name() +
                 " HTTP/1.1\r\nHost: desk.example\r\nSkylarkchute-Request-Id: " + NewId() +
                 "\r\nSkylarkchute-Deadline-Ms: 1000\r\n"
                 "Skylarkchute-Credential: key-1\r\n\r\n");
    SleepMs(answer.mStatus == 0 ? 20 : 300);
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
  route["Name"] = "check";
  route["Host"] = "desk.example";
  route["PathPrefix"] = "/check/";
  route["Kind"] = "idempotent";
  route["TimeoutMs"] = 1000;
  route["TargetLatencyMs"] = 100;
  route["Priority"] = 2;
  route["Service"] = "desk";
  route["MaxAttempts"] = 2;
  route["Public"] = false;
  config["Routes"].append(route);
  Json::Value service;
  service["Name"] = "desk";
  service["HealthPath"] = "/healthz";
  service["MaxConnections"] = 110;
  config["Services"].append(service);
  Json::Value tenant;
  tenant["Name"] = "town";
  tenant["ApiKeys"].append("key-1");
  config["Tenants"].append(tenant);
  store.Put("config", "main", config);

  std::vector<std::unique_ptr<Endpoint>> servers;
  const auto add = [&](const std::string& aId,
                       const std::string& aZone,
                       const std::string& aVersion,
                       bool aIsNew) {
    servers.push_back(
      std::make_unique<Endpoint>(store,
                                 aId,
                                 "desk",
                                 aZone,
                                 aVersion,
                                 [aIsNew](int aSocket, const Message& aRequest, Endpoint& aSelf) {
                                   return Serve(aSocket, aRequest, aSelf, aIsNew);
                                 }));
  };
  for (int n = 1; n <= 3; ++n) {
    add("i-old" + std::to_string(n), "z" + std::to_string(n), "v9", false);
    servers.back()->Register();
  }
  std::vector<std::unique_ptr<Relay>> relays;
  std::vector<int> seeds;
  for (int n = 1; n <= 3; ++n) {
    relays.push_back(
      std::make_unique<Relay>("relay-" + std::to_string(n), "z" + std::to_string(n), store.Port()));
    seeds.push_back(relays.back()->PeerPort());
  }
  for (auto& it : relays) {
    it->Start(seeds);
  }
  for (auto& it : relays) {
    if (!it->WaitReady(10)) {
      Record("a relay does not become ready");
      Finish(2);
    }
  }
  std::vector<std::thread> clients;
  for (auto& it : relays) {
    for (int n = 0; n < kClients; ++n) {
      clients.emplace_back([&it, n] { RunClient(*it, n); });
    }
  }
  SleepMs(8000);

  Json::Value order;
  order["Service"] = "desk";
  order["Target"] = "v10";
  order["PeriodS"] = kPeriod;
  store.Put("rollouts", "desk", order);
  gOrder = Seconds();
  Record("the operator orders version v10, PeriodS " + std::to_string(int(kPeriod)));
  SleepMs(300);
  for (int n = 1; n <= 3; ++n) {
    add("i-new" + std::to_string(n), "z" + std::to_string(n), "v10", true);
    servers.back()->Register();
  }
  double restarted = 0;
  if (HasTrouble()) {
    SleepMs(static_cast<int>(1000 * (gOrder + kKillAt - Seconds())));
    Record("all relays are killed");
    for (auto& it : relays) {
      it->Kill();
    }
    SleepMs(500);
    for (auto& it : relays) {
      it->Start(seeds);
    }
    restarted = Seconds();
    Record("all relays start again");
  }
  double rolledBack = 0;
  double left = 0;
  while (Seconds() < gOrder + kPeriod) {
    SleepMs(20);
    const auto state = store.Get("rollouts", "desk")["Status"]["State"].asString();
    if (state == "rolled_back" && rolledBack == 0) {
      rolledBack = Seconds();
    }
    if (rolledBack > 0 && left == 0 && Seconds() >= rolledBack + kDrainAfter) {
      left = Seconds();
      Record("the servers of v10 leave");
      for (std::size_t n = 3; n < servers.size(); ++n) {
        servers[n]->Unregister();
      }
    }
  }
  gIsEnding = true;
  for (auto& it : clients) {
    it.join();
  }

  // The check: a request counts where it reached the version through a machine in touch.
  std::size_t all = 0;
  std::size_t exposed = 0;
  std::map<std::string, std::pair<int, int>> byRelay;
  double last = 0;
  for (auto& server : servers) {
    for (const auto& it : server->Arrivals()) {
      if (it.mAt < gOrder || it.mAt > gOrder + kPeriod) {
        continue;
      }
      ++all;
      const bool isNew = it.mVersion == "v10";
      byRelay[it.mVia].first += isNew ? 0 : 1;
      byRelay[it.mVia].second += isNew ? 1 : 0;
      const bool isInTouch =
        restarted == 0 || it.mAt < gOrder + kKillAt || it.mAt > restarted + kStable;
      exposed += isNew && isInTouch ? 1 : 0;
      last = isNew && isInTouch ? std::max(last, it.mAt) : last;
    }
  }
  for (const auto& [name, counts] : byRelay) {
    Record(name + ": " + std::to_string(counts.first) + " requests to v9, " +
           std::to_string(counts.second) + " to v10");
  }
  const double limit = kShare * static_cast<double>(all) + kSlack;
  std::sort(gBad.begin(), gBad.end());
  const double fiftieth = gBad.size() >= 50 ? gBad[49] : 1e9;
  Record("between order and deadline " + std::to_string(all) + " requests reached the service, " +
         std::to_string(exposed) + " of them v10 from machines in touch; limit " +
         std::to_string(limit));
  Record(std::to_string(gBad.size()) + " bad answers; the 50th " +
         (gBad.size() >= 50 ? "at " + std::to_string(fiftieth) : "never came") +
         "; the last request to v10 at " + std::to_string(last));
  const bool isBroken = static_cast<double>(exposed) > limit || last > fiftieth + kRollback;
  Record(isBroken ? "EXPOSURE is broken" : "EXPOSURE holds");
  Finish(isBroken ? 1 : 0);
}
