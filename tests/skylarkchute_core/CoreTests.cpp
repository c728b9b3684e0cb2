#include <skylarkchute_core/skylarkchute_core.h>

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

TEST_CASE("the verdict of several attempts is the worst one")
{
  CHECK(WorseVerdict(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun);
  CHECK(WorseVerdict(Verdict::MayHaveRun, Verdict::NotRun) == Verdict::MayHaveRun);
  CHECK(WorseVerdict(Verdict::NotRun, Verdict::NotRun) == Verdict::NotRun);
}

TEST_CASE("digests equal the published test vectors")
{
  CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(HmacSha256Hex("Jefe", "what do ya want for nothing?") ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("rendezvous order moves only the keys of a removed member")
{
  std::vector<InstanceId> members;
  for (int n = 0; n < 9; ++n) {
    members.emplace_back("instance-" + std::to_string(n));
  }
  auto fewer = members;
  fewer.erase(fewer.begin() + 3);
  for (int n = 0; n < 1000; ++n) {
    const auto key = "key-" + std::to_string(n);
    const auto before = RendezvousOrder(key, members, 2);
    const auto after = RendezvousOrder(key, fewer, 1);
    CHECK(after.front() == (before[0] == members[3] ? before[1] : before[0]));
  }
}

TEST_CASE("a histogram's quantile lies within one bin of the true value")
{
  LatencyHistogram histogram;
  for (int n = 1; n <= 1000; ++n) {
    histogram.Record(std::chrono::milliseconds(n));
  }
  CHECK(histogram.Quantile(0.5) >= 500ms);
  CHECK(histogram.Quantile(0.5) <= 650ms);
  CHECK(histogram.Count() == 1000);
}

TEST_CASE("an INI fault names its line")
{
  std::string text;
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_CHECK(IniDocument::Parse("[a]\nx = 1\nx = 2\n"));
      return {};
    },
    [&](const Faults& aFaults) { text = aFaults.Text(); },
    [] {});
  CHECK(text.find("line 3") != std::string::npos);
}
