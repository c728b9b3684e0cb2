#include "support/BundleStore.h"
#include "support/BundleTexts.h"
#include "support/LeafErrors.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace {

/** Runs the commands of several operators on a fake store, with one second between commands. */
class LifecycleFixture
{
public:
  BundleLifecycle LifecycleFor(const std::string& aOperator)
  {
    mNow += 1s;
    return { mStore, { OperatorName(aOperator), mNow } };
  }

  auto Propose(const std::string& aOperator, const std::string& aText)
  {
    return CaptureResult([&] { return LifecycleFor(aOperator).Propose(aText); });
  }

  auto Approve(const std::string& aOperator, const ProposalId& aId)
  {
    return CaptureResult([&] { return LifecycleFor(aOperator).Approve(aId); });
  }

  auto Roll(const std::string& aOperator, const ProposalId& aId)
  {
    return CaptureResult([&] { return LifecycleFor(aOperator).Roll(aId); });
  }

  auto Revert(const std::string& aOperator, Generation aGeneration)
  {
    return CaptureResult([&] { return LifecycleFor(aOperator).Revert(aGeneration); });
  }

  /** Proposes and approves. */
  ProposalId ProposeAndApprove(const std::string& aText,
                               const std::string& aProposer = "ada",
                               const std::string& aApprover = "ben")
  {
    const auto proposal = Propose(aProposer, aText);
    REQUIRE(proposal);
    REQUIRE(Approve(aApprover, proposal->mId));
    return proposal->mId;
  }

  /** Proposes, approves and rolls. */
  Generation PutInForce(const std::string& aText)
  {
    const auto acceptance = Roll("ada", ProposeAndApprove(aText));
    REQUIRE(acceptance);
    return acceptance->mHead.mGeneration;
  }

  std::optional<BundleHead> Head()
  {
    auto head = CaptureResult([&] { return BundleArchive(mStore).ReadStoredHead(); });
    REQUIRE(head);
    return *head ? std::optional((*head)->mHead) : std::nullopt;
  }

  std::vector<AuditRecord> Audit(WallTime aSince = {})
  {
    const auto head = Head();
    auto records = CaptureResult([&] { return AuditTrail(mStore).Read(head, aSince); });
    REQUIRE(records);
    return *records;
  }

  /** Returns the number of audit records of an action. */
  std::size_t CountAuditRecords(AuditAction aAction)
  {
    const auto records = Audit();
    return static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(), [&](const AuditRecord& aRecord) {
        return aRecord.mAction == aAction;
      }));
  }

  /** Stores a withdrawal of the roll `small-2`, as an instance would write it. */
  void WithdrawRoll()
  {
    const auto since = Head()->UnchangedSince(RollName("small-2"));
    RollRecord record;
    record.mName = RollName("small-2");
    record.mSince = since;
    record.mTo = VersionId("small/2");
    record.mPhase = RollPhase::Withdrawn;
    record.mReason = "errors";
    record.mChangedBy = InstanceId("instance-3");
    record.mChangedAt = mNow;
    record.mAuditGeneration = Head()->mGeneration;
    mStore.Overwrite(RollKey(since, record.mName), WriteRollRecord(record));
  }

  FakeObjectStore mStore;
  WallTime mNow{ 1000h };
};

} // namespace

TEST_CASE("a bundle is proposed, approved and rolled, and the trail says so")
{
  LifecycleFixture fixture;
  CHECK_FALSE(fixture.Head());
  CHECK(fixture.PutInForce(SmallBundleText("one")) == 1);
  CHECK(fixture.PutInForce(SmallBundleText("two")) == 2);
  const auto head = fixture.Head();
  CHECK(head->mOperator == OperatorName("ada"));
  CHECK(head->mApprovers == std::vector{ OperatorName("ben") });
  const auto records = fixture.Audit();
  REQUIRE(records.size() == 6);
  CHECK(records[0].mAction == AuditAction::Proposed);
  CHECK(records[1].mAction == AuditAction::Approved);
  CHECK(records[1].mActor == "ben");
  CHECK(records[2].mAction == AuditAction::Rolled);
  CHECK(records[5].mGeneration == 2);
  CHECK(fixture.Audit(records[4].mAt).size() == 2);
}

TEST_CASE("a faulty bundle is refused before anything is written")
{
  LifecycleFixture fixture;
  const auto outcome = fixture.Propose("ada", Replaced(SmallBundleText(), "weight", "wait"));
  CHECK_THAT(outcome.mMessage, Contains("[team dispatch] wait"));
  CHECK(fixture.mStore.Keys("").empty());
}

TEST_CASE("the proposer cannot approve, and an unapproved proposal cannot be rolled")
{
  LifecycleFixture fixture;
  const auto proposal = fixture.Propose("ada", SmallBundleText());
  REQUIRE(proposal);
  CHECK(fixture.Approve("ada", proposal->mId).mKind == LifecycleErrorKind::Refused);
  CHECK(fixture.Roll("ben", proposal->mId).mKind == LifecycleErrorKind::Refused);
  // Approval objects in the proposer's name do not count, whatever their key.
  const Approval forged{ proposal->mId, OperatorName("ada"), fixture.mNow };
  fixture.mStore.Overwrite(ApprovalKey(proposal->mId, OperatorName("ada")), WriteApproval(forged));
  fixture.mStore.Overwrite(ApprovalKey(proposal->mId, OperatorName("cyd")), WriteApproval(forged));
  CHECK(fixture.Roll("ben", proposal->mId).mKind == LifecycleErrorKind::Refused);
  CHECK_FALSE(fixture.Head());
  REQUIRE(fixture.Approve("ben", proposal->mId));
  CHECK(fixture.Roll("ada", proposal->mId));
}

TEST_CASE("operators need plain names, and proposals must exist")
{
  LifecycleFixture fixture;
  CHECK(fixture.Propose("a/b", SmallBundleText()).mKind == LifecycleErrorKind::Refused);
  CHECK(fixture.Propose("", SmallBundleText()).mKind == LifecycleErrorKind::Refused);
  CHECK(fixture.Approve("ben", ProposalId("0123")).mKind == LifecycleErrorKind::NotFound);
  CHECK(fixture.Approve("ben", ProposalId("../head")).mKind == LifecycleErrorKind::NotFound);
  CHECK(fixture.Revert("ben", 1).mKind == LifecycleErrorKind::NotFound);
}

TEST_CASE("a racing bundle loses with a message that names the winner")
{
  LifecycleFixture fixture;
  fixture.PutInForce(SmallBundleText("base"));
  const auto first = fixture.ProposeAndApprove(SmallBundleText("first"), "ada", "ben");
  const auto second = fixture.ProposeAndApprove(SmallBundleText("second"), "cyd", "dan");
  REQUIRE(fixture.Roll("ada", first));
  const auto lost = fixture.Roll("cyd", second);
  CHECK(lost.mKind == LifecycleErrorKind::Conflict);
  CHECK_THAT(lost.mMessage, Contains("generation 2") && Contains(first.Value()) && Contains("ada"));
  fixture.PutInForce(SmallBundleText("third"));
  CHECK_THAT(fixture.Roll("cyd", second).mMessage, Contains(first.Value()));
  CHECK_THAT(fixture.Roll("ada", first).mMessage, Contains("was accepted as generation 2"));
  const auto stale =
    CaptureResult([&] { return fixture.LifecycleFor("ada").Propose(SmallBundleText("x"), 1); });
  CHECK(stale.mKind == LifecycleErrorKind::Conflict);
}

TEST_CASE("two rolls interleaved at every call accept exactly one bundle")
{
  // The second roll runs completely just before store call n of the first one.
  for (std::uint64_t n = 1;; ++n) {
    LifecycleFixture fixture;
    fixture.PutInForce(SmallBundleText("base"));
    const auto first = fixture.ProposeAndApprove(SmallBundleText("first"), "ada", "ben");
    const auto second = fixture.ProposeAndApprove(SmallBundleText("second"), "cyd", "dan");
    const auto start = fixture.mStore.Calls();
    bool ran = false;
    std::optional<Outcome<Acceptance>> other;
    fixture.mStore.SetFaults([&](const ObjectCall&) {
      if (!ran && fixture.mStore.Calls() == start + n) {
        ran = true;
        other = fixture.Roll("cyd", second);
      }
      return StoreFault::None;
    });
    const auto mine = fixture.Roll("ada", first);
    fixture.mStore.SetFaults(nullptr);
    if (!ran) {
      CHECK(n > 5);
      break;
    }
    INFO("interleaved at call " << n);
    CHECK(static_cast<bool>(mine) != static_cast<bool>(*other));
    const auto& loser = mine ? *other : mine;
    CHECK(loser.mKind == LifecycleErrorKind::Conflict);
    CHECK_THAT(loser.mMessage, Contains((mine ? first : second).Value()));
    CHECK(fixture.Head()->mGeneration == 2);
    CHECK(fixture.Head()->mProposal == (mine ? first : second));
    CHECK(fixture.CountAuditRecords(AuditAction::Rolled) == 2);
  }
}

TEST_CASE("a failed call at any point of any command leaves a command that may be repeated")
{
  const auto fault =
    GENERATE(StoreFault::Unavailable, StoreFault::LostBeforeEffect, StoreFault::LostAfterEffect);
  // The store fails `length` calls in a row, starting with call n.
  for (const std::uint64_t length : { 1U, 4U, 1000U }) {
    bool reached = true;
    for (std::uint64_t n = 1; reached; ++n) {
      LifecycleFixture fixture;
      fixture.PutInForce(SmallBundleText("base"));
      const auto start = fixture.mStore.Calls();
      reached = false;
      fixture.mStore.SetFaults([&](const ObjectCall&) {
        const auto call = fixture.mStore.Calls() - start;
        const auto fails = call >= n && call < n + length;
        reached = reached || fails;
        return fails ? fault : StoreFault::None;
      });
      const auto text = SmallBundleText("next");
      auto proposal = fixture.Propose("ada", text);
      const auto repeat = [&](auto& aOutcome, auto aCommand) {
        if (!aOutcome) {
          CHECK((aOutcome.mKind == LifecycleErrorKind::Unavailable ||
                 aOutcome.mKind == LifecycleErrorKind::Unknown));
          fixture.mStore.SetFaults(nullptr);
          aOutcome = aCommand();
        }
      };
      INFO("fault " << static_cast<int>(fault) << " at call " << n << " for " << length);
      repeat(proposal, [&] { return fixture.Propose("ada", text); });
      REQUIRE(proposal);
      auto approval = fixture.Approve("ben", proposal->mId);
      repeat(approval, [&] { return fixture.Approve("ben", proposal->mId); });
      REQUIRE(approval);
      auto rolled = fixture.Roll("ada", proposal->mId);
      const auto before = rolled.mKind;
      const auto moved =
        CaptureResult([&] { return ReadHead(fixture.mStore.Body(std::string(kHeadKey))); });
      if (before == LifecycleErrorKind::Unavailable) {
        CHECK(moved->mGeneration == 1);
      }
      repeat(rolled, [&] { return fixture.Roll("ada", proposal->mId); });
      REQUIRE(rolled);
      fixture.mStore.SetFaults(nullptr);
      CHECK(rolled->mHead.mGeneration == 2);
      CHECK(fixture.Head()->mProposal == proposal->mId);
      CHECK(fixture.CountAuditRecords(AuditAction::Proposed) == 2);
      CHECK(fixture.CountAuditRecords(AuditAction::Approved) == 2);
      CHECK(fixture.CountAuditRecords(AuditAction::Rolled) == 2);
      CHECK(fixture.CountAuditRecords(AuditAction::Attempted) == 0);
    }
  }
}

TEST_CASE("the answer to the head's write is lost: reading back tells which happened")
{
  const auto racing = GENERATE(false, true);
  LifecycleFixture fixture;
  fixture.PutInForce(SmallBundleText("base"));
  const auto first = fixture.ProposeAndApprove(SmallBundleText("first"), "ada", "ben");
  const auto second = fixture.ProposeAndApprove(SmallBundleText("second"), "cyd", "dan");
  bool lost = false;
  fixture.mStore.SetFaults([&](const ObjectCall& aCall) {
    const auto* put = std::get_if<PutObject>(&aCall.mOperation);
    if (lost || !put || put->mKey != kHeadKey) {
      return StoreFault::None;
    }
    lost = true;
    if (racing) {
      REQUIRE(fixture.Roll("cyd", second));
    }
    return StoreFault::LostAfterEffect;
  });
  const auto outcome = fixture.Roll("ada", first);
  fixture.mStore.SetFaults(nullptr);
  CHECK(static_cast<bool>(outcome) == !racing);
  if (racing) {
    CHECK(outcome.mKind == LifecycleErrorKind::Conflict);
    CHECK_THAT(outcome.mMessage, Contains(second.Value()));
  } else {
    CHECK(outcome->mAnswerLost);
  }
}

TEST_CASE("a roll whose answer was lost succeeds even if the head has moved on since")
{
  LifecycleFixture fixture;
  fixture.PutInForce(SmallBundleText("base"));
  const auto first = fixture.ProposeAndApprove(SmallBundleText("first"), "ada", "ben");
  bool lost = false;
  bool followed = false;
  fixture.mStore.SetFaults([&](const ObjectCall& aCall) {
    const auto* put = std::get_if<PutObject>(&aCall.mOperation);
    if (!lost && put && put->mKey == kHeadKey) {
      lost = true;
      return StoreFault::LostAfterEffect;
    }
    if (lost && !followed) {
      followed = true;
      fixture.PutInForce(SmallBundleText("second"));
    }
    return StoreFault::None;
  });
  const auto outcome = fixture.Roll("ada", first);
  fixture.mStore.SetFaults(nullptr);
  REQUIRE(outcome);
  CHECK(outcome->mHead.mGeneration == 2);
  CHECK(fixture.Head()->mGeneration == 3);
}

TEST_CASE("the record of a roll whose writer died is completed by any reader")
{
  LifecycleFixture fixture;
  const auto proposal = fixture.ProposeAndApprove(SmallBundleText("one"));
  fixture.mStore.SetFaults([&](const ObjectCall& aCall) {
    const auto* put = std::get_if<PutObject>(&aCall.mOperation);
    return put && put->mKey == AcceptanceAuditKey(1) ? StoreFault::Unavailable : StoreFault::None;
  });
  REQUIRE(fixture.Roll("ada", proposal));
  fixture.mStore.SetFaults(nullptr);
  CHECK(fixture.mStore.Body(AcceptanceAuditKey(1)).empty());
  SECTION("by the audit command")
  {
    CHECK(fixture.CountAuditRecords(AuditAction::Rolled) == 1);
  }
  SECTION("by the next roll")
  {
    fixture.PutInForce(SmallBundleText("two"));
    CHECK_FALSE(fixture.mStore.Body(AcceptanceAuditKey(1)).empty());
  }
}

TEST_CASE("an attempt that lost stays in the trail as an attempt")
{
  LifecycleFixture fixture;
  fixture.PutInForce(SmallBundleText("base"));
  const auto first = fixture.ProposeAndApprove(SmallBundleText("first"));
  fixture.mStore.SetFaults([&](const ObjectCall& aCall) {
    const auto* put = std::get_if<PutObject>(&aCall.mOperation);
    return put && put->mKey == kHeadKey ? StoreFault::Unavailable : StoreFault::None;
  });
  CHECK(fixture.Roll("ada", first).mKind == LifecycleErrorKind::Unavailable);
  fixture.mStore.SetFaults(nullptr);
  CHECK(fixture.CountAuditRecords(AuditAction::Attempted) == 1);
  CHECK(fixture.CountAuditRecords(AuditAction::Rolled) == 1);
}

TEST_CASE("one operator reverts to an earlier bundle as a new generation")
{
  LifecycleFixture fixture;
  fixture.PutInForce(SmallBundleText("one"));
  fixture.PutInForce(Replaced(SmallBundleText("two"), "concurrency = 50", "concurrency = 60"));
  const auto reverted = fixture.Revert("cyd", 1);
  REQUIRE(reverted);
  CHECK(reverted->mHead.mGeneration == 3);
  CHECK(reverted->mHead.mRevertedTo == 1);
  const auto one = CaptureResult([&] { return BundleArchive(fixture.mStore).Find("1"); });
  const auto head = CaptureResult([&] { return BundleArchive(fixture.mStore).Find("head"); });
  CHECK(one->mId == head->mId);
  CHECK(fixture.Audit().back().mAction == AuditAction::Reverted);
  CHECK(fixture.Revert("cyd", 3).mKind == LifecycleErrorKind::Refused);
  CHECK(fixture.Revert("cyd", 4).mKind == LifecycleErrorKind::NotFound);
  // The target of a revert may itself be a revert.
  fixture.PutInForce(SmallBundleText("four"));
  CHECK(fixture.Revert("cyd", 3));
}

TEST_CASE("one operator cannot revert to a bundle that allows more")
{
  const auto base = SmallBundleText();
  const std::vector<std::pair<std::string, std::string>> narrowings = {
    { "[version large/1]\nstate = active", "[version large/1]\nstate = withdrawn" },
    { "keys = 00112233445566778899aabb", "keys = 10112233445566778899aabb" },
    { "models = small, large\nservices", "models = small\nservices" },
    { "services = orders", "services = status" },
  };
  for (const auto& [from, to] : narrowings) {
    LifecycleFixture fixture;
    INFO(to);
    fixture.PutInForce(base);
    REQUIRE(Replaced(base, from, to) != base);
    fixture.PutInForce(Replaced(base, from, to));
    CHECK(fixture.Revert("cyd", 1).mKind == LifecycleErrorKind::Refused);
    CHECK(fixture.PutInForce(base) == 3);
  }
}

TEST_CASE("an unchanged roll keeps its origin, a changed one begins anew")
{
  LifecycleFixture fixture;
  const RollName roll("small-2");
  fixture.PutInForce(SmallBundleText("one"));
  fixture.PutInForce(SmallBundleText("two"));
  CHECK(fixture.Head()->UnchangedSince(roll) == 1);
  fixture.PutInForce(Replaced(SmallBundleText("three"), "hold = 10s", "hold = 20s"));
  CHECK(fixture.Head()->UnchangedSince(roll) == 3);
}

TEST_CASE("a bundle cannot bring back a version that an instance withdrew")
{
  LifecycleFixture fixture;
  fixture.PutInForce(SmallBundleText("one"));
  fixture.WithdrawRoll();
  const auto changedPlan = Replaced(SmallBundleText("two"), "hold = 10s", "hold = 20s");
  const auto refused = fixture.Roll("ada", fixture.ProposeAndApprove(changedPlan));
  CHECK(refused.mKind == LifecycleErrorKind::Refused);
  CHECK_THAT(refused.mMessage, Contains("small/2") && Contains("errors"));
  CHECK(fixture.PutInForce(SmallBundleText("unrelated")) == 2);
  CHECK(fixture.Head()->UnchangedSince(RollName("small-2")) == 1);
  auto withdrawn = SmallBundleText("withdrawn");
  withdrawn = Replaced(withdrawn, "state = rolling", "state = withdrawn");
  const auto plan = withdrawn.find("[roll small-2]");
  withdrawn.erase(plan, withdrawn.find("[service orders]") - plan);
  CHECK(fixture.PutInForce(withdrawn) == 3);
  CHECK(fixture.CountAuditRecords(AuditAction::Withdrawn) == 1);
  CHECK(fixture.Revert("cyd", 2).mKind == LifecycleErrorKind::Refused);
}

TEST_CASE("damaged or missing parts and proposals are refused")
{
  LifecycleFixture fixture;
  const auto proposal = fixture.ProposeAndApprove(SmallBundleText());
  const auto keys = fixture.mStore.Keys("bundles/parts/");
  const auto body = fixture.mStore.Body(keys[0]);
  fixture.mStore.Overwrite(keys[0], body + "\n");
  CHECK_THAT(fixture.Roll("ada", proposal).mMessage, Contains("is damaged"));
  fixture.mStore.Remove(keys[0]);
  CHECK_THAT(fixture.Roll("ada", proposal).mMessage, Contains("is missing"));
  fixture.mStore.Overwrite(keys[0], body);
  const auto text = fixture.mStore.Body(ProposalKey(proposal));
  fixture.mStore.Overwrite(ProposalKey(proposal), Replaced(text, "\"ada\"", "\"eve\""));
  CHECK_THAT(fixture.Roll("ada", proposal).mMessage, Contains("is damaged"));
}

TEST_CASE("list and diff tell what is open and what would change")
{
  LifecycleFixture fixture;
  fixture.PutInForce(SmallBundleText("one"));
  const auto text = Replaced(SmallBundleText("one"), "concurrency = 50", "concurrency = 60");
  const auto proposal = fixture.Propose("cyd", text);
  const auto list = CaptureResult([&] { return BundleArchive(fixture.mStore).List({}); });
  REQUIRE(list);
  REQUIRE(list->size() == 2);
  CHECK(list->at(0).mAcceptedGeneration == 1);
  CHECK_FALSE(list->at(0).mOpen);
  CHECK(list->at(1).mOpen);
  CHECK(list->at(1).mApprovers.empty());
  const auto diff = CaptureResult(
    [&] { return BundleArchive(fixture.mStore).Diff("head", proposal->mId.Value()); });
  REQUIRE(diff);
  REQUIRE(diff->size() == 1);
  CHECK(diff->at(0).mName == "team/dispatch");
  CHECK(diff->at(0).mRemovedLines == std::vector<std::string>{ "concurrency = 50" });
  CHECK(diff->at(0).mAddedLines == std::vector<std::string>{ "concurrency = 60" });
}

TEST_CASE("the trail is read over several blocks of generations")
{
  LifecycleFixture fixture;
  for (int n = 0; n < 205; ++n) {
    fixture.PutInForce(SmallBundleText(std::to_string(n)));
  }
  CHECK(fixture.CountAuditRecords(AuditAction::Rolled) == 205);
  fixture.mStore.ResetCounts();
  CHECK(fixture.Audit(fixture.mNow - 5s).size() == 6);
  CHECK(fixture.mStore.Counts().mReads < 10);
}
