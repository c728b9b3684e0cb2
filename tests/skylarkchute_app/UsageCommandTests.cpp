#include "support/FakeObjectStore.h"

#include <app/Commands.h>
#include <app/ledger/UsageCommand.h>

#include <catch2/catch.hpp>

#include <sstream>

using namespace skylarkchute;

namespace {

struct Run
{
  int mCode = 0;
  std::string mOut;
  std::string mErrors;
};

Run RunUsage(ObjectApi& aStore, const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream errors;
  const int code = RunUsageCommand(aArguments, aStore, out, errors);
  return { code, out.str(), errors.str() };
}

FakeObjectStore MakeStore()
{
  FakeObjectStore store;
  std::uint64_t sequence = 0;
  for (const auto* team : { "town", "dispatch", "town" }) {
    UsageRecord record;
    record.mTeam = TeamName(team);
    record.mKey = RequestKey("key-" + std::to_string(sequence));
    record.mRequest = RequestId("request-" + std::to_string(sequence));
    record.mModel = "m/v1";
    record.mPrice = 0.5;
    const UsageBatch batch{ IncarnationId("i"), ++sequence, { record } };
    store.Overwrite(UsageBatchKey(batch.mOwner, batch.mSequence), EncodeUsageBatch(batch));
  }
  return store;
}

constexpr int kOk = static_cast<int>(ExitCode::Ok);
constexpr int kFailed = static_cast<int>(ExitCode::Failed);
constexpr int kBadInput = static_cast<int>(ExitCode::BadInput);

} // namespace

TEST_CASE("usage prints the bill of every team, or of one, as a table or JSON")
{
  auto store = MakeStore();
  const auto all = RunUsage(store, {});
  CHECK(all.mCode == kOk);
  CHECK(all.mOut.find("dispatch") != std::string::npos);
  CHECK(all.mOut.find("1.0000") != std::string::npos);
  const auto one = RunUsage(store, { "--team", "town", "--json" });
  CHECK(one.mOut == "{\"lines\":[{\"completion_tokens\":0,\"model\":\"m/v1\",\"price\":1.0,"
                    "\"prompt_tokens\":0,\"requests\":2,\"team\":\"town\"}],\"repeated\":0}\n");
}

TEST_CASE("usage says when the platform does not answer or a batch cannot be read")
{
  auto store = MakeStore();
  store.Overwrite("usage/i/9", "broken");
  const auto partial = RunUsage(store, {});
  CHECK(partial.mCode == kFailed);
  CHECK(partial.mErrors.find("usage/i/9") != std::string::npos);
  store.SetOutage(true);
  const auto down = RunUsage(store, {});
  CHECK(down.mCode == kFailed);
  CHECK(down.mOut.empty());
}

TEST_CASE("usage refuses unknown arguments and prints its page on request")
{
  FakeObjectStore store;
  CHECK(RunUsage(store, { "--bogus" }).mCode == kBadInput);
  CHECK(RunUsage(store, { "stray" }).mCode == kBadInput);
  const auto help = RunUsage(store, { "--help" });
  CHECK(help.mCode == kOk);
  CHECK(help.mOut.find("--team") != std::string::npos);
  CHECK(store.Calls() == 0);
}
