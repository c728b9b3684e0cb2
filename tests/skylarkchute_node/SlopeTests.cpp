#include "NodeFleet.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kMeasuredDuration{ 30 };
constexpr int kRequestsPerNodeAndSecond = 7; // About 2,200 requests a second over 320 nodes.

double ResidentMegabytes()
{
  std::ifstream in("/proc/self/statm");
  double total = 0;
  double resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double CpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec) / 1e6;
}

using TrafficByKind = std::map<std::string, TrafficCount>;

/** Prints the messages and bytes of each kind of traffic, per node and second. */
void PrintTraffic(const TrafficByKind& aBefore, const TrafficByKind& aAfter, int aNodes)
{
  const auto nodeSeconds =
    static_cast<double>(aNodes) * static_cast<double>(kMeasuredDuration.count());
  double bytes = 0;
  double storeCalls = 0;
  for (const auto& [kind, count] : aAfter) {
    const auto it = aBefore.find(kind);
    const auto before = it == aBefore.end() ? TrafficCount() : it->second;
    const auto messages = static_cast<double>(count.mMessages - before.mMessages);
    const auto payload = static_cast<double>(count.mBytes - before.mBytes);
    std::printf("  %-22s %9.3f messages %10.1f bytes\n",
                kind.c_str(),
                messages / nodeSeconds,
                payload / nodeSeconds);
    if (kind.rfind("store", 0) == 0) {
      storeCalls += messages;
    } else {
      bytes += payload;
    }
  }
  std::printf("  peer payload %.1f bytes; store calls of the fleet %.1f a second\n",
              bytes / nodeSeconds,
              storeCalls / static_cast<double>(kMeasuredDuration.count()));
}

/** Prints the number of refused requests by reason. */
void PrintRefusals(const NodeFleet& aFleet)
{
  std::map<std::string, int> reasons;
  for (const auto& [request, answers] : aFleet.Answers()) {
    if (answers.front().mKind == "refuse") {
      ++reasons[answers.front().mReason];
    }
  }
  for (const auto& [reason, count] : reasons) {
    std::printf("  refused %-20s %d\n", reason.c_str(), count);
  }
}

void MeasureFleet(int aNodes, int aRequestsPerNodeAndSecond)
{
  const auto memoryBefore = ResidentMegabytes();
  NodeFleet fleet(1, aNodes, NodeOptions().mUsageMaxAge);
  const auto traffic = fleet.Traffic();
  const auto cpuBefore = CpuSeconds();
  const int rounds =
    std::max(aRequestsPerNodeAndSecond, 1) * static_cast<int>(kMeasuredDuration.count());
  for (int round = 0; round < rounds; ++round) {
    for (int n = 0; n < aNodes && aRequestsPerNodeAndSecond > 0; ++n) {
      fleet.SendChat(n);
    }
    fleet.Run(std::chrono::milliseconds(1000) * kMeasuredDuration.count() / rounds);
  }
  const auto cpu = CpuSeconds() - cpuBefore;
  const auto nodeSeconds =
    static_cast<double>(aNodes) * static_cast<double>(kMeasuredDuration.count());
  std::printf("%d nodes, %d requests a second each: processor %.3f%% of a core a node, "
              "memory %.2f MB a node\n",
              aNodes,
              aRequestsPerNodeAndSecond,
              100 * cpu / nodeSeconds,
              (ResidentMegabytes() - memoryBefore) / aNodes);
  PrintRefusals(fleet);
  PrintTraffic(traffic, fleet.Traffic(), aNodes);
  CHECK(fleet.Runs().size() >=
        static_cast<std::size_t>(aNodes * aRequestsPerNodeAndSecond * kMeasuredDuration.count()) *
          9 / 10);
}

} // namespace

TEST_CASE("CPU, memory and traffic per node by fleet size", "[.measure]")
{
  for (const int nodes : { 9, 40, 160, 320 }) {
    MeasureFleet(nodes, 0);
    MeasureFleet(nodes, kRequestsPerNodeAndSecond);
  }
}
