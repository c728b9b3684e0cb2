#include "Fleet.h"
#include "PromiseChecker.h"
#include "Schedule.h"
#include "SoakClient.h"
#include "SoakReport.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace options = boost::program_options;
using namespace skylarkchute::soak;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kBroken = 1;
constexpr int kBadInput = 2;
constexpr int kClients = 12;
constexpr int kCrashClients = 2;
constexpr std::uint32_t kMinRelays = 3;
constexpr std::uint32_t kMaxRelays = 100;
constexpr int kMaxMinutes = 60;
constexpr milliseconds kTick{ 20 };
constexpr seconds kProgressInterval{ 5 };
constexpr milliseconds kCloseTime{ 1000 };

volatile std::sig_atomic_t gIsInterrupted = 0;

struct SoakOptions
{
  std::uint64_t mSeed = 1;
  int mMinutes = 1;
  std::uint32_t mRelays = kMinRelays;
  std::string mBuild = "build";
  std::string mProgram; /**< Of the relays; empty for that of the build directory. */
  std::string mCsvFile;
};

/** @returns false after printing the help text
    @throws std::exception  if an argument is invalid or missing */
bool ParseOptions(int aCount, char** aArguments, SoakOptions& aOut)
{
  options::options_description description("soak/run");
  auto add = description.add_options();
  add("help", "show this text");
  add("seed", options::value<std::uint64_t>(), "seed of the schedule and of the clients");
  add("replay", options::value<std::uint64_t>(), "the same as --seed");
  add("minutes", options::value(&aOut.mMinutes)->default_value(1), "length, 1 to 60");
  add("processes", options::value(&aOut.mRelays)->default_value(kMinRelays), "relays, 3 to 100");
  add("build", options::value(&aOut.mBuild)->default_value("build"), "build directory");
  add("program", options::value(&aOut.mProgram), "program of the relays, also of an earlier build");
  add("csv", options::value(&aOut.mCsvFile), "file for the counts of each second");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description), values);
  options::notify(values);
  if (values.count("help") > 0) {
    std::cout << description;
    return false;
  }
  if (values.count("seed") + values.count("replay") != 1) {
    throw options::error("state --seed or --replay");
  }
  aOut.mSeed = values[values.count("seed") > 0 ? "seed" : "replay"].as<std::uint64_t>();
  if (aOut.mMinutes < 1 || aOut.mMinutes > kMaxMinutes || aOut.mRelays < kMinRelays ||
      aOut.mRelays > kMaxRelays) {
    throw options::error("--minutes or --processes is out of range");
  }
  return true;
}

std::string MakeWorkDirectory()
{
  auto name = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a directory for logs");
  }
  return name;
}

/** Begins and ends the faults of a schedule at their time. */
class ScheduleRunner
{
public:
  ScheduleRunner(Fleet& aFleet, const std::vector<Fault>& aSchedule, TimePoint aBegin)
    : mFleet(aFleet)
    , mSchedule(aSchedule)
    , mBegin(aBegin)
  {
  }

  void Tick()
  {
    const auto now = Clock::now();
    for (; mNext < mSchedule.size() && mBegin + mSchedule[mNext].mAt <= now; ++mNext) {
      if (mFleet.Begin(mSchedule[mNext])) {
        ++mInjected[FaultName(mSchedule[mNext].mKind)];
        mOpen.push_back(&mSchedule[mNext]);
      } else {
        ++mSkipped;
      }
    }
    std::erase_if(mOpen, [&](const Fault* aFault) {
      if (mBegin + aFault->mAt + aFault->mDuration > now) {
        return false;
      }
      mFleet.End(*aFault);
      mLastEnd = Clock::now();
      return true;
    });
  }

  TimePoint LastEnd() const { return mLastEnd; }

  void PrintInjected(std::ostream& aOut) const
  {
    aOut << "injected:";
    for (const auto& [name, count] : mInjected) {
      aOut << " " << name << "=" << count;
    }
    aOut << "; " << mSkipped << " without a target at the time\n";
  }

private:
  Fleet& mFleet;
  const std::vector<Fault>& mSchedule;
  TimePoint mBegin;
  std::size_t mNext = 0;
  std::vector<const Fault*> mOpen;
  std::map<std::string, int> mInjected;
  int mSkipped = 0;
  TimePoint mLastEnd;
};

using Clients = std::vector<std::unique_ptr<SoakClient>>;

Clients StartClients(const Fleet& aFleet, std::uint64_t aSeed)
{
  Clients clients;
  for (int n = 1; n <= kClients + kCrashClients; ++n) {
    clients.push_back(std::make_unique<SoakClient>(aFleet, aSeed, n, n > kClients));
  }
  return clients;
}

void PrintProgress(const Clients& aClients, TimePoint aBegin)
{
  std::size_t count = 0;
  for (const auto& it : aClients) {
    count += it->Count();
  }
  const auto passed = std::chrono::duration_cast<seconds>(Clock::now() - aBegin);
  std::cout << "  " << passed.count() << " s: " << count << " requests" << std::endl;
}

/** Runs the clients and the schedule for the length of the soak. @returns what was seen */
Evidence RunSoak(const SoakOptions& aOptions,
                 const std::vector<Fault>& aSchedule,
                 const std::string& aWork,
                 TimePoint& aBegin)
{
  const auto program =
    aOptions.mProgram.empty() ? aOptions.mBuild + "/app/skylarkchute" : aOptions.mProgram;
  Fleet fleet(aOptions.mBuild, program, aWork, aOptions.mRelays);
  aBegin = Clock::now();
  const auto end = aBegin + std::chrono::minutes(aOptions.mMinutes);
  auto clients = StartClients(fleet, aOptions.mSeed);
  ScheduleRunner runner(fleet, aSchedule, aBegin);
  auto nextProgress = aBegin + kProgressInterval;
  while (Clock::now() < end && gIsInterrupted == 0) {
    runner.Tick();
    fleet.Tick();
    if (Clock::now() >= nextProgress) {
      nextProgress += kProgressInterval;
      PrintProgress(clients, aBegin);
    }
    std::this_thread::sleep_for(kTick);
  }
  for (auto& it : clients) {
    it->Stop();
  }
  std::vector<Exchange> exchanges;
  for (auto& it : clients) {
    const auto seen = it->Join();
    exchanges.insert(exchanges.end(), seen.begin(), seen.end());
  }
  std::this_thread::sleep_for(kCloseTime);
  fleet.SampleIdleRelays();
  Evidence evidence;
  fleet.Finish(evidence);
  evidence.mExchanges = std::move(exchanges);
  evidence.mLastFaultEnd = runner.LastEnd();
  runner.PrintInjected(std::cout);
  return evidence;
}

int Soak(const SoakOptions& aOptions)
{
  const auto schedule =
    MakeSchedule(aOptions.mSeed, std::chrono::minutes(aOptions.mMinutes), aOptions.mRelays);
  std::cout << "seed " << aOptions.mSeed << ", " << aOptions.mRelays << " relays, "
            << aOptions.mMinutes << " min, schedule:\n";
  PrintSchedule(std::cout, schedule);
  const auto work = MakeWorkDirectory();
  TimePoint begin;
  const auto evidence = RunSoak(aOptions, schedule, work, begin);
  if (gIsInterrupted != 0) {
    std::cout << "interrupted\n";
    return kBroken;
  }
  const auto csvFile = aOptions.mCsvFile.empty() ? work + "/seconds.csv" : aOptions.mCsvFile;
  std::ofstream csv(csvFile);
  WriteSeconds(csv, evidence, begin);
  std::cout << evidence.mExchanges.size() << " requests, " << evidence.mRuns.size()
            << " runs; checks:\n";
  const bool isKept = PrintResults(std::cout, PromiseChecker(evidence).CheckAll(), work);
  std::cout << "logs and counts by second: " << work << "\nseed " << aOptions.mSeed << ": "
            << (isKept ? "kept" : "BROKEN") << std::endl;
  return isKept ? EXIT_SUCCESS : kBroken;
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  std::signal(SIGINT, [](int) { gIsInterrupted = 1; });
  std::signal(SIGTERM, [](int) { gIsInterrupted = 1; });
  std::signal(SIGPIPE, SIG_IGN);
  try {
    SoakOptions soak;
    return ParseOptions(aArgumentCount, aArguments, soak) ? Soak(soak) : EXIT_SUCCESS;
  } catch (const options::error& error) {
    std::cerr << "soak/run: " << error.what() << "\n";
    return kBadInput;
  } catch (const std::exception& error) {
    std::cerr << "soak/run: " << error.what() << "\n";
    return kBroken;
  }
}
