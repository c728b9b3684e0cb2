// The ids of a stream's events increase by more than one.
#include "Kit.h"

#include <algorithm>

using namespace kit;

namespace {

constexpr int kEvents = 12;
constexpr int kStreams = 12;

int Step()
{
  return HasTrouble() ? 8 : 1; // Tokens in an event.
}

bool Serve(int aSocket, const Message& aRequest, Endpoint& aSelf)
{
  if (aRequest.mMethod == "GET") {
    return SendAll(aSocket, aSelf.Head(200, aRequest) + "Content-Length: 2\r\n\r\nok");
  }
  const auto from = std::atoi(aRequest.Header("last-event-id").c_str()) / Step();
  if (!SendAll(aSocket,
               aSelf.Head(200, aRequest) +
                 "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int n = from + 1; n <= kEvents; ++n) {
    const auto event =
      "id: " + std::to_string(n * Step()) + "\ndata: piece " + std::to_string(n) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!SendAll(aSocket, size + event + "\r\n")) {
      return false;
    }
    SleepMs(20);
  }
  return SendAll(aSocket, "0\r\n\r\n");
}

} // namespace

int main(int, char** aArguments)
{
  OpenRecord(aArguments[1]);
  Store store;
  Json::Value config;
  config["Version"] = 3;
  for (const bool isResumable : { true, false }) {
    Json::Value route;
    route["Name"] = isResumable ? "digest" : "note";
    route["Host"] = "desk.example";
    route["PathPrefix"] = isResumable ? "/digest/" : "/note/";
    route["Kind"] = "streaming";
    route["TimeoutMs"] = 15000;
    route["TargetLatencyMs"] = 2000;
    route["GapAimMs"] = 1000;
    route["Priority"] = 1;
    route["Service"] = "model";
    route["MaxAttempts"] = 3;
    route["Public"] = false;
    route["SessionAffinity"] = true;
    route["StreamResume"] = isResumable;
    config["Routes"].append(route);
  }
  Json::Value check;
  check["Name"] = "check";
  check["Host"] = "desk.example";
  check["PathPrefix"] = "/check/";
  check["Kind"] = "idempotent";
  check["TimeoutMs"] = 1000;
  check["TargetLatencyMs"] = 100;
  check["Priority"] = 2;
  check["Service"] = "model";
  check["MaxAttempts"] = 2;
  check["Public"] = false;
  config["Routes"].append(check);
  Json::Value service;
  service["Name"] = "model";
  service["HealthPath"] = "/healthz";
  service["MaxConnections"] = 370;
  config["Services"].append(service);
  Json::Value tenant;
  tenant["Name"] = "town";
  tenant["ApiKeys"].append("key-1");
  config["Tenants"].append(tenant);
  store.Put("config", "main", config);
  std::vector<std::unique_ptr<Endpoint>> servers;
  for (int n = 1; n <= 3; ++n) {
    servers.push_back(std::make_unique<Endpoint>(
      store, "i-" + std::to_string(n), "model", "z" + std::to_string(n), "v1", Serve));
    servers.back()->Register();
  }
  Relay relay("relay-1", "z1", store.Port());
  relay.Start({ relay.PeerPort() });
  if (!relay.WaitReady(10)) {
    Record("the relay does not become ready");
    Finish(2);
  }
  SleepMs(4000);

  int cut = 0;
  for (int n = 0; n < kStreams; ++n) {
    const std::string path = n % 2 == 0 ? "/digest/" : "/note/";
    Client client(relay.CallerPort());
    // The stream's request comes on a kept connection, which has served another one.
    const auto first = client.Ask("GET /check/ HTTP/1.1\r\nHost: desk.example\r\n"
                                  "Skylarkchute-Request-Id: " +
                                  NewId() +
                                  "\r\nSkylarkchute-Deadline-Ms: 1000\r\n"
                                  "Skylarkchute-Credential: key-1\r\n\r\n");
    if (first.mStatus != 200) {
      Record("the first request of a connection is answered " + std::to_string(first.mStatus));
      Finish(2);
    }
    const auto id = NewId();
    const auto answer = client.Ask(
      "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nSkylarkchute-Request-Id: " + id +
        "\r\nSkylarkchute-Deadline-Ms: 15000\r\nSkylarkchute-Credential: key-1\r\n"
        "Skylarkchute-Model: m\r\nSkylarkchute-Token-Counts: 100,96\r\n"
        "Skylarkchute-Prompt-Prefix: 5c1e07a2:60,91bd3f06:40\r\nContent-Length: 6\r\n\r\n",
      "prompt");
    int pieces = 0;
    for (auto at = answer.mBody.find("data: "); at != std::string::npos;
         at = answer.mBody.find("data: ", at + 1)) {
      ++pieces;
    }
    int runs = 0;
    for (auto& server : servers) {
      for (const auto& it : server->Arrivals()) {
        runs += it.mId == id ? 1 : 0;
      }
    }
    Record(path + " " + id + ": status " + std::to_string(answer.mStatus) + ", " +
           std::to_string(pieces) + " of " + std::to_string(kEvents) + " pieces, " +
           (answer.mIsComplete ? "complete" : "the connection ended early") + ", ran " +
           std::to_string(runs) + " times");
    cut += answer.mIsComplete && pieces == kEvents ? 0 : 1;
  }
  Record(std::to_string(cut) + " of " + std::to_string(kStreams) +
         " streams of sound servers were not answered whole");
  Record(cut > 3 ? "LOST is broken" : "LOST holds");
  Finish(cut > 3 ? 1 : 0);
}
