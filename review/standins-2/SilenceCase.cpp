/** The operator takes keys away. At the moment of each change the store is silent for a short time
    for the relays that follow it, a third of all. The keys must not be in use afterwards. */

#include "Harness.h"

using namespace review;

namespace {

constexpr int kRelays = 9;
constexpr int kSilentRelays = 3; // Of 9: at most 0.35
constexpr int kKeys = 8;
constexpr milliseconds kSilence{ 100 };
constexpr milliseconds kDeadline{ 1000 };

/** The wait of a watch, and some seconds. */
constexpr int kMostSeconds = 40;

/** ConfigApplyMs and MaxSkewMs, and a second more. */
constexpr milliseconds kInForce{ 2000 + 5000 + 1000 };

std::string KeyOf(int aNumber)
{
  return "key-" + std::to_string(aNumber);
}

/** Returns the version in which the first keys have been taken away. */
Json::Value VersionOf(int aTaken)
{
  auto config = ConfigOf(5 + aTaken,
                         { RouteOf("/orders/", "dispatch-desk", "non_idempotent", 1000, 1) },
                         { "dispatch-desk" },
                         1048576);
  for (int n = aTaken; n < kKeys; ++n) {
    config["Tenants"][0]["ApiKeys"].append(KeyOf(n));
  }
  return config;
}

} // namespace

int main(int aCount, char** aValues)
{
  const auto arguments = ArgumentsOf(aCount, aValues);
  Record record(arguments.mFolder + "record.txt");
  Store store(record);
  const auto folder = TemporaryFolder();
  const char* zones[] = { "northway", "coastpike", "hillroads" };
  store.Put("config", "main", VersionOf(0));
  Endpoint::Options options;
  options.mId = "desk-1";
  options.mService = "dispatch-desk";
  Endpoint desk(store, record, options);
  desk.Register("ready");
  std::vector<std::unique_ptr<Store::Gate>> gates;
  std::vector<std::unique_ptr<Relay>> relays;
  std::vector<int> seeds;
  for (int n = 0; n < kRelays; ++n) {
    const auto name = "relay-" + std::to_string(n + 1);
    gates.push_back(std::make_unique<Store::Gate>(store, name));
    relays.push_back(
      std::make_unique<Relay>(folder, name, zones[n % 3], Relay::Ports{}, gates[n]->Port()));
    if (n < kSilentRelays) {
      seeds.push_back(relays[n]->AllPorts().mPeers);
    }
  }
  for (const auto& it : relays) {
    it->Start(seeds);
  }
  for (const auto& it : relays) {
    if (!it->WaitReady(milliseconds(10000))) {
      record.Write("a relay did not become ready");
      return static_cast<int>(Verdict::NotRun);
    }
  }
  Sleep(milliseconds(5000));
  int ran = 0;
  int staleKey = 0;
  for (int n = 0; n < kKeys && ran == 0; ++n) {
    if (arguments.mHasTrouble) {
      record.Write("the store is silent for three relays");
      for (int m = 0; m < kSilentRelays; ++m) {
        gates[m]->SetSilent(true);
      }
    }
    record.Write("operator: version " + std::to_string(6 + n) + ", without " + KeyOf(n));
    store.Put("config", "main", VersionOf(n + 1));
    Sleep(kSilence);
    for (int m = 0; m < kSilentRelays; ++m) {
      gates[m]->SetSilent(false);
    }
    record.Write("the store answers all relays");
    Sleep(kInForce);
    for (int m = 0; m < kRelays; ++m) {
      const auto id = "order-" + std::to_string(n) + "-" + std::to_string(m + 1);
      Client client(relays[m]->Port());
      const auto outcome = client.Send("POST", "/orders/1", id, "work order", kDeadline, KeyOf(n));
      record.Write("client: " + id + " with " + KeyOf(n) + " at relay " + std::to_string(m + 1) +
                   " -> " + std::to_string(outcome.mStatus));
      ran += static_cast<int>(desk.Runs().count(id));
      staleKey = n;
    }
  }
  record.Write("result: " + std::to_string(ran) + " orders ran with a key that was taken away " +
               std::to_string(kInForce.count()) + " ms before");
  // How long it goes on, for the record alone.
  bool isInUse = ran > 0;
  for (int n = 0; isInUse && n < kMostSeconds; ++n) {
    Sleep(milliseconds(1000));
    Client client(relays.back()->Port());
    const auto id = "later-" + std::to_string(n);
    const auto outcome =
      client.Send("POST", "/orders/1", id, "work order", kDeadline, KeyOf(staleKey));
    record.Write("client: " + id + " with " + KeyOf(staleKey) + " at relay " +
                 std::to_string(kRelays) + " -> " + std::to_string(outcome.mStatus));
    isInUse = outcome.mStatus != 401;
  }
  for (int n = 1; n <= kSilentRelays; ++n) {
    record.WriteLines(folder + "/relay-" + std::to_string(n) + ".log", "config-in-force");
  }
  relays.clear();
  store.Stop();
  RemoveFolder(folder);
  return static_cast<int>(ran > 0 ? Verdict::Broken : Verdict::Held);
}
