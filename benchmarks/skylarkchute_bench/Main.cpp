#include "report/Bounds.h"
#include "run/FleetRun.h"
#include "run/RunCommandLine.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace po = boost::program_options;
using namespace skylarkchute;

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::string ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

int RunOnce(const RunOptions& aOptions, const std::string& aCsvPath)
{
  const auto workload = MakeWorkload(aOptions.mWorkload, aOptions.ToWorkloadOptions());
  const auto run = FleetRun(*workload, aOptions).Run();
  const auto figures = ComputeFigures(*workload, run);
  std::cout << "skylarkchute_bench " << aOptions.Text() << "\n" << FigureTable(figures);
  for (const auto& it : run.mBrokenPromises) {
    std::cout << "broken promise: " << it << "\n";
  }
  if (!aCsvPath.empty()) {
    const bool isNew = ReadFile(aCsvPath).empty();
    std::ofstream out(aCsvPath, std::ios::app);
    out << (isNew ? CsvHeading() : "") << CsvLines(aOptions, figures);
  }
  return run.mBrokenPromises.empty() ? 0 : kExitFailed;
}

int CheckBoundsFile(const std::string& aBoundsPath, const std::string& aKnownFailuresPath)
{
  const auto knownFailures =
    aKnownFailuresPath.empty() ? std::string() : ReadFile(aKnownFailuresPath);
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<int> {
      BOOST_LEAF_AUTO(bounds, ParseBounds(ReadFile(aBoundsPath)));
      int failed = 0;
      int known = 0;
      for (const auto& it : CheckBounds(bounds, knownFailures)) {
        std::cout << it.Text() << "\n";
        failed += !it.mHolds && !it.mKnownFailure ? 1 : 0;
        known += !it.mHolds && it.mKnownFailure ? 1 : 0;
      }
      std::cout << "bounds: " << bounds.size() << " checked, " << failed << " failed, " << known
                << " known red\n";
      return failed == 0 ? 0 : kExitFailed;
    },
    [](const Faults& aFaults) {
      std::cerr << aFaults.Text();
      return kExitUsage;
    },
    [] { return kExitUsage; });
}

} // namespace

int main(int aCount, char** aArguments)
{
  try {
    po::options_description all(
      "skylarkchute_bench: measures routing decisions on a simulated fleet");
    auto add = all.add_options();
    add("help", "show this help text");
    add("csv", po::value<std::string>()->default_value(""), "append the figures to this CSV file");
    add("bounds",
        po::value<std::string>(),
        "check all bounds in this file instead of performing one run");
    add("known-red",
        po::value<std::string>()->default_value(""),
        "list of known failures; bounds named in it do not fail the check");
    all.add(RunOptionsDescription());
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, all), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << all
                << "Exit codes: 0 success, 1 a bound or promise is broken, 2 invalid usage.\n";
      return 0;
    }
    if (values.count("bounds") > 0) {
      return CheckBoundsFile(values["bounds"].as<std::string>(),
                             values["known-red"].as<std::string>());
    }
    return RunOnce(RunOptionsFrom(values), values["csv"].as<std::string>());
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  }
}
