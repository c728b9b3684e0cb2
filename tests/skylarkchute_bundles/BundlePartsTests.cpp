#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include "support/BundleTexts.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;

TEST_CASE("a change of one team changes one part")
{
  const auto before = SplitBundle(*ParseBundle(SmallBundleText()));
  const auto after =
    SplitBundle(*ParseBundle(Replaced(SmallBundleText(), "concurrency = 50", "concurrency = 51")));
  REQUIRE(before.size() == after.size());
  std::vector<std::string> changed;
  for (std::size_t n = 0; n < before.size(); ++n) {
    CHECK(before[n].mName == after[n].mName);
    if (before[n].mHash != after[n].mHash) {
      changed.push_back(after[n].mName);
    }
  }
  CHECK(changed == std::vector<std::string>{ "team/dispatch" });
}

TEST_CASE("the order of sections does not change the bundle identifier")
{
  auto text = SmallBundleText();
  const auto at = text.find("[model small]");
  const auto end = text.find("[model large]");
  const auto moved = text.substr(at, end - at);
  const auto reordered = Replaced(text, moved, "") + "\n" + moved;
  CHECK(ComputeBundleId(ReferencesOf(SplitBundle(*ParseBundle(reordered)))) ==
        ComputeBundleId(ReferencesOf(SplitBundle(*ParseBundle(text)))));
}

TEST_CASE("parts assemble to the same bundle, and a damaged part is refused")
{
  auto parts = SplitBundle(*ParseBundle(SmallBundleText()));
  const auto bundle = AssembleBundle(parts);
  REQUIRE(bundle);
  CHECK(RenderBundle(*bundle) == RenderBundle(*ParseBundle(SmallBundleText())));
  parts[1].mText += " ";
  CHECK_FALSE(AssembleBundle(parts));
}

TEST_CASE("a head reads back as it was written")
{
  BundleHead head;
  head.mGeneration = 7;
  head.mParts = ReferencesOf(SplitBundle(*ParseBundle(SmallBundleText())));
  head.mBundle = ComputeBundleId(head.mParts);
  head.mRolls = { { RollName("small-2"), 3 } };
  head.mKind = AcceptanceKind::Revert;
  head.mRevertedTo = 4;
  head.mProposal = ProposalId("p");
  head.mOperator = OperatorName("åsa");
  head.mApprovers = { OperatorName("b"), OperatorName("c") };
  head.mAcceptedAt = WallTime(std::chrono::milliseconds(1234567));
  const auto again = ReadHead(WriteHead(head));
  REQUIRE(again);
  CHECK(*again == head);
  CHECK(again->UnchangedSince(RollName("small-2")) == 3);
}

TEST_CASE("text that is no head is refused")
{
  BundleHead head;
  head.mGeneration = 1;
  head.mBundle = ComputeBundleId({});
  const auto text = WriteHead(head);
  REQUIRE(ReadHead(text));
  const std::vector<std::string> damaged = {
    "",
    "[]",
    "null",
    "{}",
    text + "x",
    text.substr(0, text.size() / 2),
    std::string(100000, '['),
    Replaced(text, "\"generation\":1", "\"generation\":-1"),
    Replaced(text, "\"generation\":1", "\"generation\":0"),
    Replaced(text, "\"parts\":[]", "\"parts\":[{\"name\":\"bundle\",\"hash\":\"0\"}]"),
    Replaced(text, "\"parts\":[]", "\"parts\":[7]"),
    Replaced(text, "\"kind\":\"roll\"", "\"kind\":\"other\""),
  };
  for (const auto& it : damaged) {
    INFO(it.substr(0, 200));
    CHECK_FALSE(ReadHead(it));
  }
}
