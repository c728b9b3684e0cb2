#include "Commands.h"

#include "bundles/AuditCommand.h"
#include "bundles/BundleCommand.h"
#include "check/CheckCommand.h"
#include "events/EventCatalogue.h"
#include "explain/ExplainCommand.h"
#include "ledger/UsageCommand.h"
#include "platform/PlatformOption.h"
#include "relay/RelayCommand.h"
#include "serve/ServeCommand.h"
#include "status/StatusCommand.h"

#include <boost/program_options/errors.hpp>
#include <skylarkchute_platform/skylarkchute_platform.h>

#include <functional>
#include <iostream>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

using Arguments = std::vector<std::string>;
using StoreCommand = std::function<int(const Arguments&, ObjectApi&)>;

struct Command
{
  const char* mName;
  const char* mSummary;
  std::function<int(const Arguments&)> mRun;
};

/** Runs an operator command against the platform given by `--platform` or the environment. */
int RunWithStore(const Arguments& aArguments, const StoreCommand& aCommand)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<int> {
      BOOST_LEAF_AUTO(extracted, ExtractPlatformOption(aArguments));
      ObjectApiClient api(extracted.mPlatform.mAddress, extracted.mPlatform.mPort);
      return aCommand(extracted.mRemaining, api);
    },
    [](const Faults& aFaults) {
      std::cerr << "skylarkchute: " << aFaults.Text();
      return static_cast<int>(ExitCode::BadInput);
    },
    [] { return static_cast<int>(ExitCode::Failed); });
}

int RunBundle(const Arguments& aArguments)
{
  return RunWithStore(aArguments, [](const Arguments& aRest, ObjectApi& aApi) {
    return RunBundleCommand(aRest, aApi, std::cout, std::cerr);
  });
}

int RunAudit(const Arguments& aArguments)
{
  return RunWithStore(aArguments, [](const Arguments& aRest, ObjectApi& aApi) {
    return RunAuditCommand(aRest, aApi, std::cout, std::cerr);
  });
}

int RunUsage(const Arguments& aArguments)
{
  return RunWithStore(aArguments, [](const Arguments& aRest, ObjectApi& aApi) {
    return RunUsageCommand(aRest, aApi, std::cout, std::cerr);
  });
}

int RunEvents(const Arguments& /*aArguments*/)
{
  std::cout << EventCatalogueText();
  return static_cast<int>(ExitCode::Ok);
}

const std::vector<Command>& Commands()
{
  static const std::vector<Command> commands{
    { "serve",
      "run one entry instance",
      [](const Arguments& aRest) { return RunServeCommand(aRest, std::cout, std::cerr); } },
    { "relay",
      "run one relay in front of the users' platform",
      [](const Arguments& aRest) { return RunRelayCommand(aRest, std::cout, std::cerr); } },
    { "check",
      "validate settings and bundles",
      [](const Arguments& aRest) { return RunCheckCommand(aRest, std::cout, std::cerr); } },
    { "bundle", "propose, approve, roll, revert, show, list or diff bundles", RunBundle },
    { "status",
      "show instances, rolls, endpoints, limits and latencies",
      [](const Arguments& aRest) { return RunStatusCommand(aRest, std::cout, std::cerr); } },
    { "explain",
      "show where a relay would send a request now, and why",
      [](const Arguments& aRest) { return RunExplainCommand(aRest, std::cout, std::cerr); } },
    { "audit", "show who changed what, and when", RunAudit },
    { "usage", "show the bill of each team", RunUsage },
    { "events", "print the catalogue of log events", RunEvents },
  };
  return commands;
}

void PrintUsage(std::ostream& aOut)
{
  aOut << "usage: skylarkchute COMMAND [OPTIONS]\n\ncommands:\n";
  for (const auto& it : Commands()) {
    aOut << "  " << it.mName << "\t" << it.mSummary << "\n";
  }
  aOut
    << "\nEach command has --help. Operator commands take --platform ADDRESS:PORT or the\n"
       "environment variable SKYLARKCHUTE_PLATFORM. Exit codes: 0 done, 1 failed, 2 bad input.\n";
}

} // namespace

int RunCommand(const std::vector<std::string>& aArguments)
{
  if (aArguments.empty() || aArguments.front() == "--help") {
    PrintUsage(aArguments.empty() ? std::cerr : std::cout);
    return static_cast<int>(aArguments.empty() ? ExitCode::BadInput : ExitCode::Ok);
  }
  for (const auto& it : Commands()) {
    if (aArguments.front() != it.mName) {
      continue;
    }
    try {
      return it.mRun({ aArguments.begin() + 1, aArguments.end() });
    } catch (const boost::program_options::error& error) {
      std::cerr << "skylarkchute " << it.mName << ": " << error.what() << "\n";
      return static_cast<int>(ExitCode::BadInput);
    }
  }
  std::cerr << "skylarkchute: unknown command '" << aArguments.front() << "'\n";
  PrintUsage(std::cerr);
  return static_cast<int>(ExitCode::BadInput);
}

} // namespace skylarkchute
