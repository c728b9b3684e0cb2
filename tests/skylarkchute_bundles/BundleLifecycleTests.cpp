#include "support/BundleStore.h"
#include "support/BundleTexts.h"
#include "support/LeafErrors.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace {

/** A store with operators who give commands one second apart. */
class Desk
{
public:
  BundleLifecycle As(const std::string& aOperator)
  {
    mNow += 1s;
    return { mStore, { OperatorName(aOperator), mNow } };
  }

  auto Propose(const std::string& aOperator, const std::string& aText)
  {
    return Try([&] { return As(aOperator).Propose(aText); });
  }

  auto Approve(const std::string& aOperator, const ProposalId& aId)
  {
    return Try([&] { return As(aOperator).Approve(aId); });
  }

  auto Roll(const std::string& aOperator, const ProposalId& aId)
  {
    return Try([&] { return As(aOperator).Roll(aId); });
  }

  auto Revert(const std::string& aOperator, Generation aGeneration)
  {
    return Try([&] { return As(aOperator).Revert(aGeneration); });
  }

  /** Proposes and approves. */
  ProposalId Prepare(const std::string& aText,
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
    const auto acceptance = Roll("ada", Prepare(aText));
    REQUIRE(acceptance);
    return acceptance->mHead.mGeneration;
  }

  std::optional<BundleHead> Head()
  {
    auto head = Try([&] { return BundleArchive(mStore).ReadStoredHead(); });
    REQUIRE(head);
    return *head ? std::optional((*head)->mHead) : std::nullopt;
  }

  std::vector<AuditRecord> Audit(WallTime aSince = {})
  {
    const auto head = Head();
    auto records = Try([&] { return AuditTrail(mStore).Read(head, aSince); });
    REQUIRE(records);
    return *records;
  }

  /** Returns how often the trail has an action. */
  std::size_t CountAudit(AuditAction aAction)
  {
    const auto records = Audit();
    return static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(), [&](const AuditRecord& aRecord) {
        return aRecord.mAction == aAction;
      }));
  }

  /** Withdraws the version of the roll `small-2` as an instance would. */
  void WithdrawRoll()
  {
    const auto since = Head()->SinceOf(RollName("small-2"));
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
  Desk desk;
  CHECK_FALSE(desk.Head());
  CHECK(desk.PutInForce(SmallBundleText("one")) == 1);
  CHECK(desk.PutInForce(SmallBundleText("two")) == 2);
  const auto head = desk.Head();
  CHECK(head->mOperator == OperatorName("ada"));
  CHECK(head->mApprovers == std::vector{ OperatorName("ben") });
  const auto records = desk.Audit();
  REQUIRE(records.size() == 6);
  CHECK(records[0].mAction == AuditAction::Proposed);
  CHECK(records[1].mAction == AuditAction::Approved);
  CHECK(records[1].mActor == "ben");
  CHECK(records[2].mAction == AuditAction::Rolled);
  CHECK(records[5].mGeneration == 2);
  CHECK(desk.Audit(records[4].mAt).size() == 2);
}

TEST_CASE("a faulty bundle is refused before anything is written")
{
  Desk desk;
  const auto outcome = desk.Propose("ada", Replaced(SmallBundleText(), "weight", "wait"));
  CHECK_THAT(outcome.mMessage, Contains("[team dispatch] wait"));
  CHECK(desk.mStore.Keys("").empty());
}

TEST_CASE("the proposer cannot approve, and an unapproved proposal cannot be rolled")
{
  Desk desk;
  const auto proposal = desk.Propose("ada", SmallBundleText());
  REQUIRE(proposal);
  CHECK(desk.Approve("ada", proposal->mId).mKind == LifecycleErrorKind::Refused);
  CHECK(desk.Roll("ben", proposal->mId).mKind == LifecycleErrorKind::Refused);
  // An approval object that the proposer wrote by hand counts for nothing.
  const Approval forged{ proposal->mId, OperatorName("ada"), desk.mNow };
  desk.mStore.Overwrite(ApprovalKey(proposal->mId, OperatorName("ada")), WriteApproval(forged));
  desk.mStore.Overwrite(ApprovalKey(proposal->mId, OperatorName("cyd")), WriteApproval(forged));
  CHECK(desk.Roll("ben", proposal->mId).mKind == LifecycleErrorKind::Refused);
  CHECK_FALSE(desk.Head());
  REQUIRE(desk.Approve("ben", proposal->mId));
  CHECK(desk.Roll("ada", proposal->mId));
}

TEST_CASE("operators need plain names, and proposals must exist")
{
  Desk desk;
  CHECK(desk.Propose("a/b", SmallBundleText()).mKind == LifecycleErrorKind::Refused);
  CHECK(desk.Propose("", SmallBundleText()).mKind == LifecycleErrorKind::Refused);
  CHECK(desk.Approve("ben", ProposalId("0123")).mKind == LifecycleErrorKind::NotFound);
  CHECK(desk.Approve("ben", ProposalId("../head")).mKind == LifecycleErrorKind::NotFound);
  CHECK(desk.Revert("ben", 1).mKind == LifecycleErrorKind::NotFound);
}

TEST_CASE("a racing bundle loses with a message that names the winner")
{
  Desk desk;
  desk.PutInForce(SmallBundleText("base"));
  const auto first = desk.Prepare(SmallBundleText("first"), "ada", "ben");
  const auto second = desk.Prepare(SmallBundleText("second"), "cyd", "dan");
  REQUIRE(desk.Roll("ada", first));
  const auto lost = desk.Roll("cyd", second);
  CHECK(lost.mKind == LifecycleErrorKind::Lost);
  CHECK_THAT(lost.mMessage, Contains("generation 2") && Contains(first.Value()) && Contains("ada"));
  desk.PutInForce(SmallBundleText("third"));
  CHECK_THAT(desk.Roll("cyd", second).mMessage, Contains(first.Value()));
  CHECK_THAT(desk.Roll("ada", first).mMessage, Contains("was accepted as generation 2"));
  const auto stale = Try([&] { return desk.As("ada").Propose(SmallBundleText("x"), 1); });
  CHECK(stale.mKind == LifecycleErrorKind::Lost);
}

TEST_CASE("two rolls interleaved at every call accept exactly one bundle")
{
  // The second roll runs whole just before call number n of the first one.
  for (std::uint64_t n = 1;; ++n) {
    Desk desk;
    desk.PutInForce(SmallBundleText("base"));
    const auto first = desk.Prepare(SmallBundleText("first"), "ada", "ben");
    const auto second = desk.Prepare(SmallBundleText("second"), "cyd", "dan");
    const auto start = desk.mStore.Calls();
    bool ran = false;
    std::optional<Outcome<Acceptance>> other;
    desk.mStore.SetFaults([&](const ObjectCall&) {
      if (!ran && desk.mStore.Calls() == start + n) {
        ran = true;
        other = desk.Roll("cyd", second);
      }
      return StoreFault::None;
    });
    const auto mine = desk.Roll("ada", first);
    desk.mStore.SetFaults(nullptr);
    if (!ran) {
      CHECK(n > 5);
      break;
    }
    INFO("interleaved at call " << n);
    CHECK(static_cast<bool>(mine) != static_cast<bool>(*other));
    const auto& loser = mine ? *other : mine;
    CHECK(loser.mKind == LifecycleErrorKind::Lost);
    CHECK_THAT(loser.mMessage, Contains((mine ? first : second).Value()));
    CHECK(desk.Head()->mGeneration == 2);
    CHECK(desk.Head()->mProposal == (mine ? first : second));
    CHECK(desk.CountAudit(AuditAction::Rolled) == 2);
  }
}

TEST_CASE("a failed call at any point of any command leaves a command that may be repeated")
{
  const auto fault =
    GENERATE(StoreFault::Unavailable, StoreFault::LostBefore, StoreFault::LostAfterEffect);
  // The store fails from call n on for as many calls as are given, then works again.
  for (const std::uint64_t length : { 1U, 4U, 1000U }) {
    bool reached = true;
    for (std::uint64_t n = 1; reached; ++n) {
      Desk desk;
      desk.PutInForce(SmallBundleText("base"));
      const auto start = desk.mStore.Calls();
      reached = false;
      desk.mStore.SetFaults([&](const ObjectCall&) {
        const auto call = desk.mStore.Calls() - start;
        const auto fails = call >= n && call < n + length;
        reached = reached || fails;
        return fails ? fault : StoreFault::None;
      });
      const auto text = SmallBundleText("next");
      auto proposal = desk.Propose("ada", text);
      const auto repeat = [&](auto& aOutcome, auto aCommand) {
        if (!aOutcome) {
          CHECK((aOutcome.mKind == LifecycleErrorKind::Unavailable ||
                 aOutcome.mKind == LifecycleErrorKind::Unknown));
          desk.mStore.SetFaults(nullptr);
          aOutcome = aCommand();
        }
      };
      INFO("fault " << static_cast<int>(fault) << " at call " << n << " for " << length);
      repeat(proposal, [&] { return desk.Propose("ada", text); });
      REQUIRE(proposal);
      auto approval = desk.Approve("ben", proposal->mId);
      repeat(approval, [&] { return desk.Approve("ben", proposal->mId); });
      REQUIRE(approval);
      auto rolled = desk.Roll("ada", proposal->mId);
      const auto before = rolled.mKind;
      const auto moved = Try([&] { return ReadHead(desk.mStore.Body(std::string(kHeadKey))); });
      if (before == LifecycleErrorKind::Unavailable) {
        CHECK(moved->mGeneration == 1);
      }
      repeat(rolled, [&] { return desk.Roll("ada", proposal->mId); });
      REQUIRE(rolled);
      desk.mStore.SetFaults(nullptr);
      CHECK(rolled->mHead.mGeneration == 2);
      CHECK(desk.Head()->mProposal == proposal->mId);
      CHECK(desk.CountAudit(AuditAction::Proposed) == 2);
      CHECK(desk.CountAudit(AuditAction::Approved) == 2);
      CHECK(desk.CountAudit(AuditAction::Rolled) == 2);
      CHECK(desk.CountAudit(AuditAction::Attempted) == 0);
    }
  }
}

TEST_CASE("the answer to the head's write is lost: reading back tells which happened")
{
  const auto racing = GENERATE(false, true);
  Desk desk;
  desk.PutInForce(SmallBundleText("base"));
  const auto first = desk.Prepare(SmallBundleText("first"), "ada", "ben");
  const auto second = desk.Prepare(SmallBundleText("second"), "cyd", "dan");
  bool lost = false;
  desk.mStore.SetFaults([&](const ObjectCall& aCall) {
    const auto* put = std::get_if<PutObject>(&aCall.mOperation);
    if (lost || !put || put->mKey != kHeadKey) {
      return StoreFault::None;
    }
    lost = true;
    if (racing) {
      REQUIRE(desk.Roll("cyd", second));
    }
    return StoreFault::LostAfterEffect;
  });
  const auto outcome = desk.Roll("ada", first);
  desk.mStore.SetFaults(nullptr);
  CHECK(static_cast<bool>(outcome) == !racing);
  if (racing) {
    CHECK(outcome.mKind == LifecycleErrorKind::Lost);
    CHECK_THAT(outcome.mMessage, Contains(second.Value()));
  } else {
    CHECK(outcome->mAnswerLost);
  }
}

TEST_CASE("a lost answer is told even when others have moved the head on since")
{
  Desk desk;
  desk.PutInForce(SmallBundleText("base"));
  const auto first = desk.Prepare(SmallBundleText("first"), "ada", "ben");
  bool lost = false;
  bool followed = false;
  desk.mStore.SetFaults([&](const ObjectCall& aCall) {
    const auto* put = std::get_if<PutObject>(&aCall.mOperation);
    if (!lost && put && put->mKey == kHeadKey) {
      lost = true;
      return StoreFault::LostAfterEffect;
    }
    if (lost && !followed) {
      followed = true;
      desk.PutInForce(SmallBundleText("second"));
    }
    return StoreFault::None;
  });
  const auto outcome = desk.Roll("ada", first);
  desk.mStore.SetFaults(nullptr);
  REQUIRE(outcome);
  CHECK(outcome->mHead.mGeneration == 2);
  CHECK(desk.Head()->mGeneration == 3);
}

TEST_CASE("the record of a roll whose writer died is completed by any reader")
{
  Desk desk;
  const auto proposal = desk.Prepare(SmallBundleText("one"));
  desk.mStore.SetFaults([&](const ObjectCall& aCall) {
    const auto* put = std::get_if<PutObject>(&aCall.mOperation);
    return put && put->mKey == AcceptanceKey(1) ? StoreFault::Unavailable : StoreFault::None;
  });
  REQUIRE(desk.Roll("ada", proposal));
  desk.mStore.SetFaults(nullptr);
  CHECK(desk.mStore.Body(AcceptanceKey(1)).empty());
  SECTION("by the audit command")
  {
    CHECK(desk.CountAudit(AuditAction::Rolled) == 1);
  }
  SECTION("by the next roll")
  {
    desk.PutInForce(SmallBundleText("two"));
    CHECK_FALSE(desk.mStore.Body(AcceptanceKey(1)).empty());
  }
}

TEST_CASE("an attempt that lost stays in the trail as an attempt")
{
  Desk desk;
  desk.PutInForce(SmallBundleText("base"));
  const auto first = desk.Prepare(SmallBundleText("first"));
  desk.mStore.SetFaults([&](const ObjectCall& aCall) {
    const auto* put = std::get_if<PutObject>(&aCall.mOperation);
    return put && put->mKey == kHeadKey ? StoreFault::Unavailable : StoreFault::None;
  });
  CHECK(desk.Roll("ada", first).mKind == LifecycleErrorKind::Unavailable);
  desk.mStore.SetFaults(nullptr);
  CHECK(desk.CountAudit(AuditAction::Attempted) == 1);
  CHECK(desk.CountAudit(AuditAction::Rolled) == 1);
}

TEST_CASE("one operator reverts to an earlier bundle as a new generation")
{
  Desk desk;
  desk.PutInForce(SmallBundleText("one"));
  desk.PutInForce(Replaced(SmallBundleText("two"), "concurrency = 50", "concurrency = 60"));
  const auto reverted = desk.Revert("cyd", 1);
  REQUIRE(reverted);
  CHECK(reverted->mHead.mGeneration == 3);
  CHECK(reverted->mHead.mRevertedTo == 1);
  const auto one = Try([&] { return BundleArchive(desk.mStore).Find("1"); });
  const auto head = Try([&] { return BundleArchive(desk.mStore).Find("head"); });
  CHECK(one->mId == head->mId);
  CHECK(desk.Audit().back().mAction == AuditAction::Reverted);
  CHECK(desk.Revert("cyd", 3).mKind == LifecycleErrorKind::Refused);
  CHECK(desk.Revert("cyd", 4).mKind == LifecycleErrorKind::NotFound);
  // A revert to a revert.
  desk.PutInForce(SmallBundleText("four"));
  CHECK(desk.Revert("cyd", 3));
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
    Desk desk;
    INFO(to);
    desk.PutInForce(base);
    REQUIRE(Replaced(base, from, to) != base);
    desk.PutInForce(Replaced(base, from, to));
    CHECK(desk.Revert("cyd", 1).mKind == LifecycleErrorKind::Refused);
    CHECK(desk.PutInForce(base) == 3);
  }
}

TEST_CASE("an unchanged roll keeps its origin, a changed one begins anew")
{
  Desk desk;
  const RollName roll("small-2");
  desk.PutInForce(SmallBundleText("one"));
  desk.PutInForce(SmallBundleText("two"));
  CHECK(desk.Head()->SinceOf(roll) == 1);
  desk.PutInForce(Replaced(SmallBundleText("three"), "hold = 10s", "hold = 20s"));
  CHECK(desk.Head()->SinceOf(roll) == 3);
}

TEST_CASE("a bundle cannot bring back a version that an instance withdrew")
{
  Desk desk;
  desk.PutInForce(SmallBundleText("one"));
  desk.WithdrawRoll();
  const auto changedPlan = Replaced(SmallBundleText("two"), "hold = 10s", "hold = 20s");
  const auto refused = desk.Roll("ada", desk.Prepare(changedPlan));
  CHECK(refused.mKind == LifecycleErrorKind::Refused);
  CHECK_THAT(refused.mMessage, Contains("small/2") && Contains("errors"));
  CHECK(desk.PutInForce(SmallBundleText("unrelated")) == 2);
  CHECK(desk.Head()->SinceOf(RollName("small-2")) == 1);
  auto withdrawn = SmallBundleText("withdrawn");
  withdrawn = Replaced(withdrawn, "state = rolling", "state = withdrawn");
  const auto plan = withdrawn.find("[roll small-2]");
  withdrawn.erase(plan, withdrawn.find("[service orders]") - plan);
  CHECK(desk.PutInForce(withdrawn) == 3);
  CHECK(desk.CountAudit(AuditAction::Withdrawn) == 1);
  CHECK(desk.Revert("cyd", 2).mKind == LifecycleErrorKind::Refused);
}

TEST_CASE("damaged or missing parts and proposals are refused")
{
  Desk desk;
  const auto proposal = desk.Prepare(SmallBundleText());
  const auto keys = desk.mStore.Keys("bundles/parts/");
  const auto body = desk.mStore.Body(keys[0]);
  desk.mStore.Overwrite(keys[0], body + "\n");
  CHECK_THAT(desk.Roll("ada", proposal).mMessage, Contains("is damaged"));
  desk.mStore.Remove(keys[0]);
  CHECK_THAT(desk.Roll("ada", proposal).mMessage, Contains("is missing"));
  desk.mStore.Overwrite(keys[0], body);
  const auto text = desk.mStore.Body(ProposalKey(proposal));
  desk.mStore.Overwrite(ProposalKey(proposal), Replaced(text, "\"ada\"", "\"eve\""));
  CHECK_THAT(desk.Roll("ada", proposal).mMessage, Contains("is damaged"));
}

TEST_CASE("list and diff tell what is open and what would change")
{
  Desk desk;
  desk.PutInForce(SmallBundleText("one"));
  const auto text = Replaced(SmallBundleText("one"), "concurrency = 50", "concurrency = 60");
  const auto proposal = desk.Propose("cyd", text);
  const auto list = Try([&] { return BundleArchive(desk.mStore).List({}); });
  REQUIRE(list);
  REQUIRE(list->size() == 2);
  CHECK(list->at(0).mAcceptedAs == 1);
  CHECK_FALSE(list->at(0).mOpen);
  CHECK(list->at(1).mOpen);
  CHECK(list->at(1).mApprovers.empty());
  const auto diff =
    Try([&] { return BundleArchive(desk.mStore).Diff("head", proposal->mId.Value()); });
  REQUIRE(diff);
  REQUIRE(diff->size() == 1);
  CHECK(diff->at(0).mName == "team/dispatch");
  CHECK(diff->at(0).mRemovedLines == std::vector<std::string>{ "concurrency = 50" });
  CHECK(diff->at(0).mAddedLines == std::vector<std::string>{ "concurrency = 60" });
}

TEST_CASE("the trail is read over several blocks of generations")
{
  Desk desk;
  for (int n = 0; n < 205; ++n) {
    desk.PutInForce(SmallBundleText(std::to_string(n)));
  }
  CHECK(desk.CountAudit(AuditAction::Rolled) == 205);
  desk.mStore.ResetCounts();
  CHECK(desk.Audit(desk.mNow - 5s).size() == 6);
  CHECK(desk.mStore.Counts().mReads < 10);
}
