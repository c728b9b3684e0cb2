/** The operator raises MaxBodyBytes. Clients that keep their connections open send longer bodies,
    well after the change has to be in force. */

#include "Harness.h"

using namespace review;

namespace {

constexpr int kClients = 24;
constexpr int kFormerLimit = 65536;
constexpr int kLimit = 1048576;
constexpr std::size_t kLongBody = 200000;
constexpr milliseconds kDeadline{ 3000 };

} // namespace

int main(int aCount, char** aValues)
{
  const auto arguments = ArgumentsOf(aCount, aValues);
  Record record(arguments.mFolder + "record.txt");
  Store store(record);
  Store::Gate gate(store, "relay-1");
  const std::vector<Json::Value> routes{ RouteOf(
    "/orders/", "dispatch-desk", "non_idempotent", 3000, 1) };
  const auto limit = arguments.mHasTrouble ? kFormerLimit : kLimit;
  store.Put("config", "main", ConfigOf(5, routes, { "dispatch-desk" }, limit));
  Endpoint::Options options;
  options.mId = "desk-1";
  options.mService = "dispatch-desk";
  Endpoint desk(store, record, options);
  desk.Register("ready");
  const auto folder = TemporaryFolder();
  Relay relay(folder, "relay-1", "northway", Relay::Ports{}, gate.Port());
  relay.Start({ relay.AllPorts().mPeers });
  if (!relay.WaitReady(milliseconds(10000))) {
    record.Write("the relay did not become ready");
    return static_cast<int>(Verdict::NotRun);
  }
  Sleep(milliseconds(4000));
  std::vector<std::unique_ptr<Client>> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.push_back(std::make_unique<Client>(relay.Port()));
    const auto outcome =
      clients.back()->Send("POST", "/orders/a", "short-" + std::to_string(n), "order", kDeadline);
    if (outcome.mStatus != 200 || !clients.back()->IsOpen()) {
      record.Write("a short order was not served");
      return static_cast<int>(Verdict::NotRun);
    }
  }
  record.Write("operator: version 6 with MaxBodyBytes " + std::to_string(kLimit));
  store.Put("config", "main", ConfigOf(6, routes, { "dispatch-desk" }, kLimit));
  Sleep(milliseconds(5000)); // ConfigApplyMs is 2,000.
  int denied = 0;
  for (int n = 0; n < kClients; ++n) {
    const auto id = "long-" + std::to_string(n);
    const auto outcome =
      clients[n]->Send("POST", "/orders/b", id, std::string(kLongBody, 'o'), kDeadline);
    record.Write("client: " + id + " -> " + std::to_string(outcome.mStatus) + " " +
                 (outcome.mHasSeal ? "" : outcome.mBody));
    denied += outcome.mStatus == 413 ? 1 : 0;
  }
  Client fresh(relay.Port());
  const auto outcome =
    fresh.Send("POST", "/orders/b", "long-new", std::string(kLongBody, 'o'), kDeadline);
  record.Write("client: long-new, on a new connection -> " + std::to_string(outcome.mStatus));
  const int allowed = 5 + (2 * kClients + 1) / 500;
  record.Write("result: " + std::to_string(denied) + " of " + std::to_string(2 * kClients + 1) +
               " requests denied, allowed " + std::to_string(allowed));
  gate.Stop();
  store.Stop();
  RemoveFolder(folder);
  return static_cast<int>(denied > allowed ? Verdict::Broken : Verdict::Held);
}
