// The store cuts its waiting watches off, and a server leaves while they are set up again.
#include "Kit.h"

#include <algorithm>

using namespace kit;

namespace {

constexpr double kDrain = 2.0; // DrainMs
constexpr int kLeavers = 4;
constexpr int kCutLeadMs = 30; // The server's entry is removed so long after the cut.

std::atomic<bool> gIsEnding{ false };

bool Serve(int aSocket, const Message& aRequest, Endpoint& aSelf)
{
  SleepMs(10);
  const std::string body(800, 'x');
  return SendAll(aSocket,
                 aSelf.Head(200, aRequest) + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
}

void RunClient(const Relay& aRelay, int aNumber)
{
  Client client(aRelay.CallerPort());
  SleepMs(7 * aNumber);
  while (!gIsEnding) {
    client.Ask("POST /order/?via=" + aRelay.Name() +
                 " HTTP/1.1\r\nHost: desk.example\r\nSkylarkchute-Request-Id: " + NewId() +
                 "\r\nSkylarkchute-Deadline-Ms: 1000\r\nSkylarkchute-Credential: key-1\r\n"
                 "Content-Length: 5\r\n\r\n",
               "order");
    SleepMs(100);
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
  route["Name"] = "order";
  route["Host"] = "desk.example";
  route["PathPrefix"] = "/order/";
  route["Kind"] = "non_idempotent";
  route["TimeoutMs"] = 1000;
  route["TargetLatencyMs"] = 100;
  route["Priority"] = 2;
  route["Service"] = "desk";
  route["MaxAttempts"] = 1;
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
  for (int n = 1; n <= 3 + kLeavers; ++n) {
    servers.push_back(std::make_unique<Endpoint>(
      store, "i-" + std::to_string(n), "desk", "z" + std::to_string(1 + n % 3), "v1", Serve));
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
    for (int n = 0; n < 8; ++n) {
      clients.emplace_back([&it, n] { RunClient(*it, n); });
    }
  }
  SleepMs(6000);

  // Each leaver's entry is removed; it goes on serving until the end of the run.
  std::vector<double> left;
  for (int n = 0; n < kLeavers; ++n) {
    if (HasTrouble()) {
      store.CutWatches();
      Record("the store cuts the waiting watches off");
    }
    SleepMs(kCutLeadMs);
    servers[n]->Unregister();
    left.push_back(Seconds());
    Record("the store acknowledges that the entry of " + servers[n]->Id() + " is removed");
    SleepMs(7000);
  }
  gIsEnding = true;
  for (auto& it : clients) {
    it.join();
  }

  int broken = 0;
  for (int n = 0; n < kLeavers; ++n) {
    int after = 0;
    int late = 0;
    double last = 0;
    for (const auto& it : servers[n]->Arrivals()) {
      after += it.mAt > left[n] ? 1 : 0;
      late += it.mAt > left[n] + kDrain ? 1 : 0;
      last = std::max(last, it.mAt);
    }
    Record(servers[n]->Id() + ": " + std::to_string(after) + " requests after its leaving, " +
           std::to_string(late) + " of them later than DrainMs; the last " +
           std::to_string(last - left[n]) + " s after it");
    broken += late;
  }
  Record(broken > 0 ? "DRAIN is broken" : "DRAIN holds");
  Finish(broken > 0 ? 1 : 0);
}
