// The settings change, and then the relays are stopped and started in turn.
#include "Kit.h"

#include <csignal>

using namespace kit;

namespace {

constexpr double kRestartDelay = 0.5;
constexpr int kTries = 3; // A process that ends by itself is started again; so often here.

std::atomic<bool> gIsEnding{ false };
std::atomic<int> gServed{ 0 };
std::atomic<int> gFailed{ 0 };

bool Serve(int aSocket, const Message& aRequest, Endpoint& aSelf)
{
  SleepMs(5);
  return SendAll(aSocket, aSelf.Head(200, aRequest) + "Content-Length: 2\r\n\r\nok");
}

void RunClient(const std::vector<std::unique_ptr<Relay>>& aRelays, int aNumber)
{
  for (int n = aNumber; !gIsEnding; ++n) {
    // A retry reaches another relay.
    bool isServed = false;
    for (std::size_t k = 0; k < aRelays.size() && !isServed; ++k) {
      const auto& relay = *aRelays[(n + k) % aRelays.size()];
      Client client(relay.CallerPort(), relay.Ip());
      isServed =
        client
          .Ask("GET /check/ HTTP/1.1\r\nHost: desk.example\r\nSkylarkchute-Request-Id: " + NewId() +
               "\r\nSkylarkchute-Deadline-Ms: 1000\r\n"
               "Skylarkchute-Credential: key-1\r\n\r\n")
          .mStatus == 200;
    }
    ++(isServed ? gServed : gFailed);
    SleepMs(100);
  }
}

void RecordServed(const std::string& aWhen)
{
  Record(aWhen + ": " + std::to_string(gServed.exchange(0)) + " requests served, " +
         std::to_string(gFailed.exchange(0)) + " not");
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
  Endpoint server(store, "i-1", "desk", "z1", "v1", Serve);
  server.Register();

  // Each machine has an address of its own, since the template sets the port for metrics.
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
  const auto write = [&](const std::string& aGrace) {
    for (std::size_t n = 0; n < relays.size(); ++n) {
      relays[n]->WriteSettings(
        TemplateSettings(*relays[n], seeds, { { "Bounds.GraceS", aGrace } }));
    }
  };
  write("8");
  for (auto& it : relays) {
    it->Launch();
  }
  for (auto& it : relays) {
    if (!it->WaitReady(10)) {
      Record("a relay does not become ready");
      Finish(2);
    }
  }
  std::vector<std::thread> clients;
  for (int n = 0; n < 6; ++n) {
    clients.emplace_back([&relays, n] { RunClient(relays, n); });
  }
  SleepMs(4000);
  RecordServed("before the change");

  const std::string grace = HasTrouble() ? "7.5" : "7";
  write(grace);
  for (auto& it : relays) {
    it->Signal(SIGHUP);
  }
  Record("the settings change: GraceS is " + grace + "; SIGHUP to all relays");
  SleepMs(3000);
  RecordServed("after the change");

  int broken = 0;
  for (auto& it : relays) {
    it->Signal(SIGTERM);
    Record(it->Name() + " is stopped");
    if (!it->HasEnded(8)) {
      Record(it->Name() + " does not end within GraceS");
      it->Kill();
    }
    int ends = 0;
    bool isReady = false;
    while (ends < kTries && !isReady) {
      SleepMs(static_cast<int>(1000 * kRestartDelay));
      it->Launch();
      isReady = !it->HasEnded(1) && it->WaitReady(5);
      ends += isReady ? 0 : 1;
    }
    Record(it->Name() + (isReady ? " is ready again" : " ended by itself at every start"));
    broken += ends >= kTries ? 1 : 0;
    SleepMs(1000);
  }
  RecordServed("while the relays were stopped and started in turn");
  SleepMs(3000);
  RecordServed("in the 3 s after that");
  gIsEnding = true;
  for (auto& it : clients) {
    it.join();
  }
  Record(std::to_string(broken) + " of 3 machines have processes that end by themselves");
  Record(broken >= 2 ? "Fault: the rule is broken" : "Fault: the rule holds");
  Finish(broken >= 2 ? 1 : 0);
}
