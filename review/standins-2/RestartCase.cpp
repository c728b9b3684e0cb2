/** Servers restart under their ids while the store is slow. Work for them that is sent after all is
    calm again has to be served. */

#include "Harness.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int kDesks = 3;
constexpr int kRounds = 60;

/** While the store is slow, its answers take 40 to 93 times the usual 4 ms. */
constexpr milliseconds kUsualAnswer{ 4 };
constexpr milliseconds kSlowAnswers[] = { milliseconds(160), milliseconds(372), milliseconds(160) };
constexpr milliseconds kSlowTime{ 3700 };
constexpr milliseconds kDeadline{ 1000 };

struct Count
{
  int mSent = 0;
  int mServed = 0;
};

/** Sends an order, and once more at the next relay if it was refused.
    @returns whether it was served */
bool SendOrder(const std::vector<std::unique_ptr<Relay>>& aRelays,
               std::size_t aFirst,
               const std::string& aPath,
               const std::string& aName,
               Record& aRecord)
{
  for (std::size_t attempt = 0; attempt < 2; ++attempt) {
    const auto& relay = *aRelays[(aFirst + attempt) % aRelays.size()];
    const auto id = aName + "-" + std::to_string(attempt);
    Client client(relay.Port());
    const auto outcome = client.Send("POST", aPath, id, "work order", kDeadline);
    aRecord.Write("client: " + id + " at relay " +
                  std::to_string((aFirst + attempt) % aRelays.size() + 1) + " -> " +
                  std::to_string(outcome.mStatus) + (outcome.mHasSeal ? "" : " " + outcome.mBody));
    if (outcome.mStatus == 200 && outcome.mHasSeal) {
      return true;
    }
    if (outcome.mStatus != 503 && outcome.mStatus != 429) {
      return false;
    }
  }
  return false;
}

} // namespace

int main(int aCount, char** aValues)
{
  const auto arguments = ArgumentsOf(aCount, aValues);
  Record record(arguments.mFolder + "record.txt");
  Store store(record);
  std::vector<std::unique_ptr<Store::Gate>> gates;
  std::vector<std::unique_ptr<Relay>> relays;
  const auto folder = TemporaryFolder();
  const char* zones[] = { "northway", "coastpike", "hillroads" };
  const std::vector<Json::Value> routes{
    RouteOf("/orders/", "dispatch-desk", "non_idempotent", 1000, 1),
    RouteOf("/notes/", "fieldnote-llm", "idempotent", 1000, 2)
  };
  store.Put("config", "main", ConfigOf(5, routes, { "dispatch-desk", "fieldnote-llm" }, 1048576));
  const auto make = [&](const std::string& aId, const std::string& aService, int aPort) {
    Endpoint::Options options;
    options.mId = aId;
    options.mService = aService;
    options.mPort = aPort;
    return std::make_unique<Endpoint>(store, record, options);
  };
  auto notes = make("notes-1", "fieldnote-llm", 0);
  auto spare = make("notes-2", "fieldnote-llm", 0);
  std::vector<std::unique_ptr<Endpoint>> desks;
  for (int n = 1; n <= kDesks; ++n) {
    desks.push_back(make("desk-" + std::to_string(n), "dispatch-desk", 0));
    desks.back()->Register("ready");
  }
  notes->Register("ready");
  spare->Register("ready");
  std::vector<int> seeds;
  for (int n = 0; n < 3; ++n) {
    gates.push_back(std::make_unique<Store::Gate>(store, "relay-" + std::to_string(n + 1)));
    relays.push_back(std::make_unique<Relay>(
      folder, "relay-" + std::to_string(n + 1), zones[n], Relay::Ports{}, gates[n]->Port()));
    seeds.push_back(relays.back()->AllPorts().mPeers);
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
  Sleep(milliseconds(4000));
  int index = 0;
  std::map<std::string, Count> counts;
  const auto round = [&] {
    ++index;
    for (const std::string path : { "/orders/", "/notes/" }) {
      auto& count = counts[path];
      ++count.mSent;
      count.mServed += SendOrder(relays,
                                 static_cast<std::size_t>(index),
                                 path + std::to_string(index),
                                 path.substr(1, 5) + "-" + std::to_string(index),
                                 record)
                         ? 1
                         : 0;
    }
  };
  for (int n = 0; n < 5; ++n) {
    round();
  }
  if (counts["/orders/"].mServed != 5) {
    record.Write("orders were not served before the restart");
    return static_cast<int>(Verdict::NotRun);
  }

  // A machine with four servers restarts: they are draining for DrainMs and a little longer, leave,
  // and start again under their ids. The operator changes the configuration meanwhile.
  notes->Register("draining");
  for (const auto& it : desks) {
    it->Register("draining");
  }
  Sleep(milliseconds(2500));
  const auto slowSince = NowMs();
  if (arguments.mHasTrouble) {
    record.Write("the store is slow");
    for (std::size_t n = 0; n < gates.size(); ++n) {
      gates[n]->SetDelay(kSlowAnswers[n]);
    }
  }
  Sleep(milliseconds(500));
  const auto restart = NowMs();
  const auto sleepUntil = [&](long aTime) {
    Sleep(milliseconds(std::max(0L, restart + aTime - NowMs())));
  };
  notes->Deregister();
  sleepUntil(20);
  for (const auto& it : desks) {
    it->Deregister();
  }
  const int notesPort = notes->Port();
  notes.reset();
  notes = make("notes-1", "fieldnote-llm", notesPort);
  for (auto& it : desks) {
    const auto id = it->Settings().mId;
    const int port = it->Port();
    it.reset();
    it = make(id, "dispatch-desk", port);
  }
  sleepUntil(100);
  notes->Register("ready");
  for (const auto& it : desks) {
    it->Register("ready");
  }
  sleepUntil(460);
  record.Write("operator: version 6");
  store.Put("config", "main", ConfigOf(6, routes, { "dispatch-desk", "fieldnote-llm" }, 1048576));
  Sleep(milliseconds(std::max(0L, slowSince + kSlowTime.count() - NowMs())));
  for (const auto& it : gates) {
    it->SetDelay(kUsualAnswer);
  }
  record.Write("the store answers as usual");
  Sleep(milliseconds(8000));

  // All servers are up and registered, the store and the relays are calm.
  for (int n = 0; n < kRounds; ++n) {
    round();
    Sleep(milliseconds(250));
  }
  int sent = 0;
  int served = 0;
  for (const auto& [path, count] : counts) {
    record.Write("result: " + path + " served " + std::to_string(count.mServed) + " of " +
                 std::to_string(count.mSent));
    sent += count.mSent;
    served += count.mServed;
  }
  const auto& orders = counts["/orders/"];
  const bool isStarved = 4.0 * orders.mServed / orders.mSent < 1.0 * served / sent;
  record.Write(isStarved ? "result: orders are served less than a quarter as often as all"
                         : "result: held");
  for (int n = 1; n <= 3; ++n) {
    record.WriteLines(folder + "/relay-" + std::to_string(n) + ".log", "endpoint-changed");
  }
  relays.clear();
  store.Stop();
  RemoveFolder(folder);
  return static_cast<int>(isStarved ? Verdict::Broken : Verdict::Held);
}
