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

/** A file that is removed at the end of the test. */
class ScratchFile
{
public:
  explicit ScratchFile(const std::string& aText)
    : mPath(std::filesystem::temp_directory_path() /
            ("bundle-command-" + SecureRandomHex(8) + ".ini"))
  {
    std::ofstream(mPath) << aText;
  }

  ScratchFile(const ScratchFile&) = delete;
  ScratchFile& operator=(const ScratchFile&) = delete;
  ~ScratchFile() { std::filesystem::remove(mPath); }

  std::string Path() const { return mPath.string(); }

private:
  std::filesystem::path mPath;
};

/** Runs commands against one store and keeps what they print. */
class Terminal
{
public:
  int Bundle(const std::vector<std::string>& aArguments)
  {
    Begin();
    return RunBundleCommand(aArguments, mStore, mOut, mErrors, mClock);
  }

  int Audit(const std::vector<std::string>& aArguments)
  {
    Begin();
    return RunAuditCommand(aArguments, mStore, mOut, mErrors, mClock);
  }

  int Check(const std::vector<std::string>& aFiles)
  {
    Begin();
    return RunCheckBundle(aFiles, mOut, mErrors);
  }

  /** Proposes a bundle and returns the identifier that was printed. */
  std::string Propose(const std::string& aText, const std::string& aOperator)
  {
    const ScratchFile file(aText);
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
  void Begin()
  {
    mClock.Advance(1s);
    mOut.str("");
    mErrors.str("");
  }
};

} // namespace

TEST_CASE("operators propose, approve, roll, diff, show, list, revert and audit a bundle")
{
  Terminal terminal;
  terminal.PutInForce(SmallBundleText("one"));
  CHECK_THAT(terminal.mOut.str(), Contains("generation 1 is accepted"));
  const auto id =
    terminal.Propose(Replaced(SmallBundleText("one"), "weight = 2", "weight = 3"), "cyd");
  REQUIRE(terminal.Bundle({ "diff", id }) == 0);
  CHECK(terminal.mOut.str() == "team/dispatch\n- weight = 2\n+ weight = 3\n");
  REQUIRE(terminal.Bundle({ "list" }) == 0);
  CHECK_THAT(terminal.mOut.str(), Contains("in force: generation 1"));
  CHECK_THAT(terminal.mOut.str(), Contains(id) && Contains("open"));
  REQUIRE(terminal.Bundle({ "approve", id, "--operator", "ada" }) == 0);
  REQUIRE(terminal.Bundle({ "roll", id, "--operator", "ada" }) == 0);
  REQUIRE(terminal.Bundle({ "roll", id, "--operator", "ada" }) == 0);
  CHECK_THAT(terminal.mOut.str(), Contains("generation 2 was accepted before"));
  REQUIRE(terminal.Bundle({ "revert", "1", "--operator", "ben" }) == 0);
  CHECK_THAT(terminal.mOut.str(), Contains("generation 3 is accepted"));
  REQUIRE(terminal.Bundle({ "show" }) == 0);
  CHECK_THAT(terminal.mOut.str(), Contains("reverted by ben") && Contains("weight = 2"));
  const ScratchFile shown(terminal.mOut.str());
  CHECK(terminal.Check({ shown.Path() }) == 0);
  REQUIRE(terminal.Bundle({ "show", id }) == 0);
  CHECK_THAT(terminal.mOut.str(), Contains("proposed by cyd") && Contains("approved by ada"));
  REQUIRE(terminal.Audit({ "--since", "1h" }) == 0);
  CHECK_THAT(terminal.mOut.str(), Contains("reverted   ben") && Contains("to generation 1"));
  REQUIRE(terminal.Audit({ "--json" }) == 0);
  CHECK_THAT(terminal.mOut.str(),
             Contains("\"action\":\"rolled\"") && Contains("\"actor\":\"ada\""));
  REQUIRE(terminal.Audit({ "--since", "1s" }) == 0);
  CHECK(terminal.mOut.str().empty());
  REQUIRE(terminal.Audit({ "--since", "2020-01-01T00:00:00Z" }) == 0);
  CHECK(terminal.mOut.str().empty());
  REQUIRE(terminal.Audit({ "--since", "2019-01-01T00:00:00Z" }) == 0);
  CHECK_THAT(terminal.mOut.str(), Contains("proposed"));
}

TEST_CASE("bundle commands tell bad input from refusals by their exit code")
{
  Terminal terminal;
  const ScratchFile faulty(Replaced(SmallBundleText(), "weight", "wait"));
  const ScratchFile valid(SmallBundleText());
  CHECK(terminal.Bundle({}) == 2);
  CHECK(terminal.Bundle({ "frobnicate" }) == 2);
  CHECK(terminal.Bundle({ "propose" }) == 2);
  CHECK(terminal.Bundle({ "propose", valid.Path() }) == 2);
  CHECK_THAT(terminal.mErrors.str(), Contains("--operator"));
  CHECK(terminal.Bundle({ "propose", valid.Path(), "--operator", "ada", "--force" }) == 2);
  CHECK(terminal.Bundle({ "propose", "/nowhere.ini", "--operator", "ada" }) == 2);
  CHECK(terminal.Bundle({ "propose", faulty.Path(), "--operator", "ada" }) == 2);
  CHECK_THAT(terminal.mErrors.str(), Contains("[team dispatch] wait: is not a known key"));
  CHECK(terminal.Bundle({ "revert", "x", "--operator", "ada" }) == 2);
  CHECK(terminal.Bundle({ "list", "--since", "yesterday" }) == 2);
  CHECK(terminal.Audit({ "--since", "yesterday" }) == 2);
  CHECK(terminal.Audit({ "stray" }) == 2);
  CHECK(terminal.Bundle({ "show" }) == 1);
  const auto id = terminal.Propose(SmallBundleText(), "ada");
  CHECK(terminal.Bundle({ "approve", id, "--operator", "ada" }) == 1);
  CHECK_THAT(terminal.mErrors.str(), Contains("another operator must approve it"));
  terminal.mStore.SetOutage(true);
  CHECK(terminal.Bundle({ "roll", id, "--operator", "ada" }) == 1);
  CHECK_THAT(terminal.mErrors.str(), Contains("the platform did not answer"));
  CHECK(terminal.Audit({}) == 1);
}

TEST_CASE("a proposal based on an outdated generation names the winner")
{
  Terminal terminal;
  terminal.PutInForce(SmallBundleText("one"));
  terminal.PutInForce(SmallBundleText("two"));
  const ScratchFile file(SmallBundleText("three"));
  CHECK(terminal.Bundle({ "propose", file.Path(), "--operator", "cyd", "--base", "1" }) == 1);
  CHECK_THAT(terminal.mErrors.str(), Contains("generation 2") && Contains("rolled by ada"));
}

TEST_CASE("every bundle command explains itself")
{
  Terminal terminal;
  CHECK(terminal.Bundle({ "--help" }) == 0);
  for (const auto* name : { "propose", "approve", "roll", "revert", "show", "list", "diff" }) {
    CHECK(terminal.Bundle({ name, "--help" }) == 0);
    CHECK_THAT(terminal.mOut.str(), Contains("Exit codes") && Contains(name));
  }
  CHECK(terminal.Audit({ "--help" }) == 0);
  CHECK(terminal.mStore.Calls() == 0);
}

TEST_CASE("check prints every fault of every bundle file")
{
  Terminal terminal;
  const ScratchFile valid(SmallBundleText());
  const ScratchFile faulty(Replaced(SmallBundleText(), "stages = 5, 50, 100", "stages = 5"));
  CHECK(terminal.Check({ valid.Path() }) == 0);
  CHECK_THAT(terminal.mOut.str(), Contains("valid, 2 teams"));
  CHECK(terminal.Check({ faulty.Path(), valid.Path(), "/nowhere.ini" }) == 2);
  CHECK_THAT(terminal.mErrors.str(), Contains(faulty.Path() + ": [roll small-2] stages"));
  CHECK_THAT(terminal.mErrors.str(), Contains("/nowhere.ini: cannot be read"));
}
