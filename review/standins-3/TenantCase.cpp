// The last keys are taken away from connected clients.
#include "Kit.h"

#include <algorithm>

using namespace kit;

namespace {

constexpr double kConfigApply = 2.0; // ConfigApplyMs

bool Serve(int aSocket, const Message& aRequest, Endpoint& aSelf)
{
  SleepMs(5);
  const std::string body = "bookings of the tenant";
  return SendAll(aSocket,
                 aSelf.Head(200, aRequest) + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
}

std::string Head(const std::string& aKey)
{
  return "GET /lookup/ HTTP/1.1\r\nHost: desk.example\r\nSkylarkchute-Request-Id: " + NewId() +
         "\r\nSkylarkchute-Deadline-Ms: 1000\r\nSkylarkchute-Credential: " + aKey + "\r\n\r\n";
}

Json::Value Config(int aVersion, const Json::Value& aTenants)
{
  Json::Value config;
  config["Version"] = aVersion;
  Json::Value route;
  route["Name"] = "lookup";
  route["Host"] = "desk.example";
  route["PathPrefix"] = "/lookup/";
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
  config["Tenants"] = aTenants;
  return config;
}

} // namespace

int main(int, char** aArguments)
{
  OpenRecord(aArguments[1]);
  Store store;
  Json::Value tenants(Json::arrayValue);
  Json::Value tenant;
  tenant["Name"] = "town";
  tenant["ApiKeys"].append("key-1");
  tenants.append(tenant);
  store.Put("config", "main", Config(3, tenants));
  Endpoint server(store, "i-1", "desk", "z1", "v1", Serve);
  server.Register();
  Relay relay("relay-1", "z1", store.Port());
  relay.Start({ relay.PeerPort() });
  if (!relay.WaitReady(10)) {
    Record("the relay does not become ready");
    Finish(2);
  }
  SleepMs(4000);

  Client holder(relay.CallerPort());
  Client stranger(relay.CallerPort());
  const auto ask = [&](const std::string& aWhen) {
    std::map<std::string, std::map<int, int>> statuses;
    for (int n = 0; n < 20; ++n) {
      ++statuses["key-1"][holder.Ask(Head("key-1")).mStatus];
      ++statuses["never-held"][stranger.Ask(Head("never-held")).mStatus];
      SleepMs(20);
    }
    for (const auto& [key, counts] : statuses) {
      for (const auto& [status, count] : counts) {
        Record(aWhen + ", key " + key + ": " + std::to_string(count) + " answers " +
               std::to_string(status));
      }
    }
  };
  ask("before");
  if (HasTrouble()) {
    store.Put("config", "main", Config(5, Json::Value(Json::arrayValue)));
    Record("the operator takes the tenant and its key away: version 5, with \"Tenants\":[]");
  }
  const auto acknowledged = Seconds();
  SleepMs(static_cast<int>(1000 * kConfigApply) + 1500);
  ask("3.5 s later");

  int revoked = 0;
  int unknown = 0;
  int untenanted = 0;
  for (const auto& it : server.Arrivals()) {
    const bool isLate = it.mAt > acknowledged + kConfigApply;
    revoked += HasTrouble() && isLate && it.mTenant == "town" ? 1 : 0;
    untenanted += it.mTenant.empty() ? 1 : 0;
    unknown += it.mTenant.empty() && isLate ? 1 : 0;
  }
  Record("requests that ran without a tenant: " + std::to_string(untenanted) +
         "; later than ConfigApplyMs: " + std::to_string(unknown) +
         "; for the tenant: " + std::to_string(revoked));
  const bool isBroken = untenanted + revoked > 0;
  Record(isBroken ? "ROUTE and CONFIG are broken" : "ROUTE and CONFIG hold");
  Finish(isBroken ? 1 : 0);
}
