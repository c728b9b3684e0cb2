#include <app/bundles/AuditCommand.h>
#include <app/bundles/BundleCommand.h>
#include <app/bundles/CheckBundle.h>

#include "support/BundleTexts.h"
#include "support/FakeObjectStore.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace skylarkchute;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace {

/** Temporary file; removed by the destructor. */
class ScopedFile
{
public:
  explicit ScopedFile(const std::string& aText)
    : mPath(std::filesystem::temp_directory_path() /
            ("bundle-command-" + SecureRandomHex(8) + ".ini"))
  {
    std::ofstream(mPath) << aText;
  }

  ScopedFile(const ScopedFile&) = delete;
  ScopedFile& operator=(const ScopedFile&) = delete;
  ~ScopedFile() { std::filesystem::remove(mPath); }

  std::string Path() const { return mPath.string(); }

private:
  std::filesystem::path mPath;
};

/** Runs commands against a fake store and captures the output of the last one. */
class CommandRunner
{
public:
  int Bundle(const std::vector<std::string>& aArguments)
  {
    BeginCommand();
    return RunBundleCommand(aArguments, mStore, mOut, mErrors, mClock);
  }

  int Audit(const std::vector<std::string>& aArguments)
  {
    BeginCommand();
    return RunAuditCommand(aArguments, mStore, mOut, mErrors, mClock);
  }

  int Check(const std::vector<std::string>& aFiles)
  {
    BeginCommand();
    return RunCheckBundle(aFiles, mOut, mErrors);
  }

  /** Proposes a bundle and returns the printed proposal id. */
  std::string Propose(const std::string& aText, const std::string& aOperator)
  {
    const ScopedFile file(aText);
    REQUIRE(Bundle({ "propose", file.Path(), "--operator", aOperator }) == 0);
    std::string word;
    std::string id;
    std::istringstream(mOut.str()) >> word >> id;
    return id;
  }

  void PutInForce(const std::string& aText)
  {
    const auto id = Propose(aText, "ada");
    REQUIRE(Bundle({ "approve", id, "--operator", "ben" }) == 0);
    REQUIRE(Bundle({ "roll", id, "--operator", "ada" }) == 0);
  }

  FakeObjectStore mStore;
  ManualClock mClock;
  std::ostringstream mOut;
  std::ostringstream mErrors;

private:
  void BeginCommand()
  {
    mClock.Advance(1s);
    mOut.str("");
    mErrors.str("");
  }
};

} // namespace

TEST_CASE("operators propose, approve, roll, diff, show, list, revert and audit a bundle")
{
  CommandRunner runner;
  runner.PutInForce(SmallBundleText("one"));
  CHECK_THAT(runner.mOut.str(), Contains("generation 1 is accepted"));
  const auto id =
    runner.Propose(Replaced(SmallBundleText("one"), "weight = 2", "weight = 3"), "cyd");
  REQUIRE(runner.Bundle({ "diff", id }) == 0);
  CHECK(runner.mOut.str() == "team/dispatch\n- weight = 2\n+ weight = 3\n");
  REQUIRE(runner.Bundle({ "list" }) == 0);
  CHECK_THAT(runner.mOut.str(), Contains("in force: generation 1"));
  CHECK_THAT(runner.mOut.str(), Contains(id) && Contains("open"));
  REQUIRE(runner.Bundle({ "approve", id, "--operator", "ada" }) == 0);
  REQUIRE(runner.Bundle({ "roll", id, "--operator", "ada" }) == 0);
  REQUIRE(runner.Bundle({ "roll", id, "--operator", "ada" }) == 0);
  CHECK_THAT(runner.mOut.str(), Contains("generation 2 was accepted before"));
  REQUIRE(runner.Bundle({ "revert", "1", "--operator", "ben" }) == 0);
  CHECK_THAT(runner.mOut.str(), Contains("generation 3 is accepted"));
  REQUIRE(runner.Bundle({ "show" }) == 0);
  CHECK_THAT(runner.mOut.str(), Contains("reverted by ben") && Contains("weight = 2"));
  const ScopedFile shown(runner.mOut.str());
  CHECK(runner.Check({ shown.Path() }) == 0);
  REQUIRE(runner.Bundle({ "show", id }) == 0);
  CHECK_THAT(runner.mOut.str(), Contains("proposed by cyd") && Contains("approved by ada"));
  REQUIRE(runner.Audit({ "--since", "1h" }) == 0);
  CHECK_THAT(runner.mOut.str(), Contains("reverted   ben") && Contains("to generation 1"));
  REQUIRE(runner.Audit({ "--json" }) == 0);
  CHECK_THAT(runner.mOut.str(), Contains("\"action\":\"rolled\"") && Contains("\"actor\":\"ada\""));
  REQUIRE(runner.Audit({ "--since", "1s" }) == 0);
  CHECK(runner.mOut.str().empty());
  REQUIRE(runner.Audit({ "--since", "2020-01-01T00:00:00Z" }) == 0);
  CHECK(runner.mOut.str().empty());
  REQUIRE(runner.Audit({ "--since", "2019-01-01T00:00:00Z" }) == 0);
  CHECK_THAT(runner.mOut.str(), Contains("proposed"));
}

TEST_CASE("bundle commands tell bad input from refusals by their exit code")
{
  CommandRunner runner;
  const ScopedFile faulty(Replaced(SmallBundleText(), "weight", "wait"));
  const ScopedFile valid(SmallBundleText());
  CHECK(runner.Bundle({}) == 2);
  CHECK(runner.Bundle({ "frobnicate" }) == 2);
  CHECK(runner.Bundle({ "propose" }) == 2);
  CHECK(runner.Bundle({ "propose", valid.Path() }) == 2);
  CHECK_THAT(runner.mErrors.str(), Contains("--operator"));
  CHECK(runner.Bundle({ "propose", valid.Path(), "--operator", "ada", "--force" }) == 2);
  CHECK(runner.Bundle({ "propose", "/nowhere.ini", "--operator", "ada" }) == 2);
  CHECK(runner.Bundle({ "propose", faulty.Path(), "--operator", "ada" }) == 2);
  CHECK_THAT(runner.mErrors.str(), Contains("[team dispatch] wait: is not a known key"));
  CHECK(runner.Bundle({ "revert", "x", "--operator", "ada" }) == 2);
  CHECK(runner.Bundle({ "list", "--since", "yesterday" }) == 2);
  CHECK(runner.Audit({ "--since", "yesterday" }) == 2);
  CHECK(runner.Audit({ "stray" }) == 2);
  CHECK(runner.Bundle({ "show" }) == 1);
  const auto id = runner.Propose(SmallBundleText(), "ada");
  CHECK(runner.Bundle({ "approve", id, "--operator", "ada" }) == 1);
  CHECK_THAT(runner.mErrors.str(), Contains("another operator must approve it"));
  runner.mStore.SetOutage(true);
  CHECK(runner.Bundle({ "roll", id, "--operator", "ada" }) == 1);
  CHECK_THAT(runner.mErrors.str(), Contains("the platform did not answer"));
  CHECK(runner.Audit({}) == 1);
}

TEST_CASE("a proposal based on an outdated generation names the winner")
{
  CommandRunner runner;
  runner.PutInForce(SmallBundleText("one"));
  runner.PutInForce(SmallBundleText("two"));
  const ScopedFile file(SmallBundleText("three"));
  CHECK(runner.Bundle({ "propose", file.Path(), "--operator", "cyd", "--base", "1" }) == 1);
  CHECK_THAT(runner.mErrors.str(), Contains("generation 2") && Contains("rolled by ada"));
}

TEST_CASE("every bundle command explains itself")
{
  CommandRunner runner;
  CHECK(runner.Bundle({ "--help" }) == 0);
  for (const auto* name : { "propose", "approve", "roll", "revert", "show", "list", "diff" }) {
    CHECK(runner.Bundle({ name, "--help" }) == 0);
    CHECK_THAT(runner.mOut.str(), Contains("Exit codes") && Contains(name));
  }
  CHECK(runner.Audit({ "--help" }) == 0);
  CHECK(runner.mStore.Calls() == 0);
}

TEST_CASE("check prints every fault of every bundle file")
{
  CommandRunner runner;
  const ScopedFile valid(SmallBundleText());
  const ScopedFile faulty(Replaced(SmallBundleText(), "stages = 5, 50, 100", "stages = 5"));
  CHECK(runner.Check({ valid.Path() }) == 0);
  CHECK_THAT(runner.mOut.str(), Contains("valid, 2 teams"));
  CHECK(runner.Check({ faulty.Path(), valid.Path(), "/nowhere.ini" }) == 2);
  CHECK_THAT(runner.mErrors.str(), Contains(faulty.Path() + ": [roll small-2] stages"));
  CHECK_THAT(runner.mErrors.str(), Contains("/nowhere.ini: cannot be read"));
}
