#include <skylarkchute_ledger/skylarkchute_ledger.h>

#include <catch2/catch.hpp>

using namespace skylarkchute;
using namespace std::chrono_literals;

namespace {

const TeamName kTeam("dispatch");
const WallTime kNow{ std::chrono::hours(1000) };

KeyRing MakeKeys()
{
  return KeyRing(std::vector<SigningKey>{ { "k1", "secret one" } });
}

std::optional<TokenFault> FaultOf(const SessionTokens& aTokens,
                                  const std::string& aText,
                                  const TeamName& aTeam,
                                  WallTime aNow)
{
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<std::optional<TokenFault>> {
      BOOST_LEAF_CHECK(aTokens.Check(aText, aTeam, aNow));
      return std::optional<TokenFault>();
    },
    [](TokenFault aFault) { return std::optional<TokenFault>(aFault); },
    [] { return std::optional<TokenFault>(); });
}

TicketIssuer MakeTicketIssuer(const std::string& aName)
{
  TicketIssuer::Options options;
  options.mSelf = IncarnationId(aName);
  options.mMaxStoredOutcomes = 4;
  options.mMaxTrackedTickets = 64;
  return { options, MakeKeys() };
}

const RequestId kRequest("r1");
const Fingerprint kFingerprint("print");
const ClaimOutcome kOutcome{ 200, Verdict::Ran, "text/plain", "sent", false };

} // namespace

TEST_CASE("a session token gives its version back to its own team until it expires")
{
  const SessionTokens tokens(MakeKeys());
  const auto text = tokens.Issue({ kTeam, SessionId("s"), VersionId("m/v1"), kNow + 1h });
  CHECK(tokens.Check(text, kTeam, kNow).value().mVersion == VersionId("m/v1"));
  CHECK_FALSE(FaultOf(tokens, text, kTeam, kNow));
  CHECK(FaultOf(tokens, text, TeamName("other"), kNow) == TokenFault::OtherTeam);
  CHECK(FaultOf(tokens, text, kTeam, kNow + 1h) == TokenFault::Expired);
  CHECK(FaultOf(tokens, "my session", kTeam, kNow) == TokenFault::NotAToken);
}

TEST_CASE("a session token with any character changed is refused")
{
  const SessionTokens tokens(MakeKeys());
  const auto text = tokens.Issue({ kTeam, SessionId("s"), VersionId("m/v1"), kNow + 1h });
  for (std::size_t n = 5; n < text.size(); ++n) {
    auto forged = text;
    forged[n] = forged[n] == 'a' ? 'b' : 'a';
    CHECK(FaultOf(tokens, forged, kTeam, kNow) == TokenFault::BadSignature);
  }
  CHECK(FaultOf(tokens, text.substr(0, text.size() - 1), kTeam, kNow) == TokenFault::BadSignature);
}

TEST_CASE("tokens outlive a rotation of keys until their key leaves the ring")
{
  const auto keys = MakeKeys();
  const auto text =
    SessionTokens(keys).Issue({ kTeam, SessionId("s"), VersionId("m/v1"), kNow + 1h });
  const auto once = keys.Rotated({ "k2", "secret two" }, 2);
  const auto twice = once.Rotated({ "k3", "secret three" }, 2);
  CHECK_FALSE(FaultOf(SessionTokens(once), text, kTeam, kNow));
  CHECK(FaultOf(SessionTokens(twice), text, kTeam, kNow) == TokenFault::BadSignature);
  const auto decoded = KeyRing::Decode(once.Encode());
  REQUIRE(decoded);
  CHECK(decoded->Keys().front().mId == "k2");
  CHECK_FALSE(KeyRing::Decode("{\"keys\":[]}"));
}

TEST_CASE("a ticket cannot be used as a session token, nor the other way round")
{
  const SessionTokens tokens(MakeKeys());
  auto issuer = MakeTicketIssuer("a");
  const auto ticket = *issuer.Issue(kTeam, kNow);
  const auto token = tokens.Issue({ kTeam, SessionId("s"), VersionId("m/v1"), kNow + 1h });
  CHECK(FaultOf(tokens, "sst1." + ticket.substr(5), kTeam, kNow) == TokenFault::BadSignature);
  const auto answer = issuer.Redeem("tkt1." + token.substr(5), kTeam, kRequest, kFingerprint, kNow);
  CHECK(answer.mResult == TicketResult::Invalid);
}

TEST_CASE("a ticket lets one request run, and gives its outcome to resends")
{
  auto issuer = MakeTicketIssuer("a");
  const auto ticket = *issuer.Issue(kTeam, kNow);
  CHECK(issuer.Redeem(ticket, kTeam, kRequest, kFingerprint, kNow).mResult == TicketResult::Run);
  const auto second = issuer.Redeem(ticket, kTeam, RequestId("r2"), kFingerprint, kNow);
  CHECK(second.mResult == TicketResult::AlreadyRunning);
  CHECK(second.mRunning == kRequest);
  CHECK(issuer.Redeem(ticket, kTeam, RequestId("r3"), Fingerprint("x"), kNow).mResult ==
        TicketResult::KeyReused);
  issuer.Finish(kRequest, kOutcome);
  const auto third = issuer.Redeem(ticket, kTeam, RequestId("r4"), kFingerprint, kNow + 2h);
  CHECK(third.mResult == TicketResult::Finished);
  CHECK(third.mOutcome->mBody == "sent");
}

TEST_CASE("a ticket whose request certainly did not run may be handed in again")
{
  auto issuer = MakeTicketIssuer("a");
  const auto ticket = *issuer.Issue(kTeam, kNow);
  issuer.Redeem(ticket, kTeam, kRequest, kFingerprint, kNow);
  issuer.Finish(kRequest, { 503, Verdict::NotRun, "", "", false });
  CHECK(issuer.Redeem(ticket, kTeam, RequestId("r2"), kFingerprint, kNow).mResult ==
        TicketResult::Run);
}

TEST_CASE("a ticket of another incarnation is forwarded, never run here")
{
  auto first = MakeTicketIssuer("a");
  auto second = MakeTicketIssuer("b");
  const auto ticket = *first.Issue(kTeam, kNow);
  const auto answer = second.Redeem(ticket, kTeam, kRequest, kFingerprint, kNow);
  CHECK(answer.mResult == TicketResult::IssuedElsewhere);
  CHECK(answer.mIssuer == IncarnationId("a"));
  CHECK(second.Redeem(ticket, TeamName("other"), kRequest, kFingerprint, kNow).mResult ==
        TicketResult::Invalid);
  CHECK(second.Redeem("my key", kTeam, kRequest, kFingerprint, kNow).mResult ==
        TicketResult::NotATicket);
}

TEST_CASE("an expired ticket did not run only when it was never handed in")
{
  auto issuer = MakeTicketIssuer("a");
  const auto unused = *issuer.Issue(kTeam, kNow);
  const auto used = *issuer.Issue(kTeam, kNow);
  REQUIRE(issuer.Redeem(used, kTeam, kRequest, kFingerprint, kNow).mResult == TicketResult::Run);
  issuer.Finish(kRequest, kOutcome);
  for (int n = 0; n < 10; ++n) {
    const RequestId request("x" + std::to_string(n));
    const auto other = *issuer.Issue(kTeam, kNow);
    issuer.Redeem(other, kTeam, request, kFingerprint, kNow);
    issuer.Finish(request, kOutcome);
  }
  CHECK(issuer.Redeem(unused, kTeam, kRequest, kFingerprint, kNow + 1h).mResult ==
        TicketResult::Expired);
  // The outcome has been evicted, but the ticket is still recorded as redeemed.
  CHECK(issuer.Redeem(used, kTeam, kRequest, kFingerprint, kNow + 1h).mResult ==
        TicketResult::MayHaveRun);
  for (int n = 0; n < 100; ++n) {
    issuer.Issue(kTeam, kNow);
  }
  CHECK(issuer.Redeem(unused, kTeam, kRequest, kFingerprint, kNow).mResult ==
        TicketResult::MayHaveRun);
}

TEST_CASE("a session name is pinned once, and the pin is kept in bounded memory")
{
  PinManager::Options options;
  options.mMaxCachedPins = 8;
  PinManager pins(options);
  std::string first;
  for (int n = 0; n < 20; ++n) {
    const SessionId session("s" + std::to_string(n));
    const auto output =
      pins.Pin(RequestId("r"), kTeam, session, VersionId("m/v1"), kNow, kNow + 24h);
    REQUIRE(output.mRegisters.size() == 1);
    const auto& request = output.mRegisters.front();
    first = n == 0 ? request.mWrite.mValue : first;
    const auto answer = pins.OnRegister({ request.mOperationId, RegisterResult::Lost, first });
    REQUIRE(answer.mAnswers.size() == 1);
    CHECK(answer.mAnswers.front().mVersion == VersionId("m/v1"));
  }
  CHECK(pins.CachedCount() == 8);
  CHECK(pins.Find(kTeam, SessionId("s19"), kNow) == VersionId("m/v1"));
  CHECK_FALSE(pins.Find(kTeam, SessionId("s0"), kNow));
  CHECK_FALSE(pins.Find(TeamName("other"), SessionId("s19"), kNow));
  const auto pinned =
    pins.Pin(RequestId("r"), kTeam, SessionId("s19"), VersionId("m/v2"), kNow, kNow + 24h);
  REQUIRE(pinned.mAnswers.size() == 1);
  CHECK(pinned.mAnswers.front().mVersion == VersionId("m/v1"));
}

TEST_CASE("a session name is not pinned while the store is down")
{
  PinManager pins({});
  const auto output =
    pins.Pin(RequestId("r"), kTeam, SessionId("s"), VersionId("m/v1"), kNow, kNow + 24h);
  for (const auto result : { RegisterResult::NotWritten, RegisterResult::Unresolved }) {
    PinManager copy = pins;
    const auto answer = copy.OnRegister({ output.mRegisters.front().mOperationId, result, {} });
    CHECK(answer.mAnswers.front().mResult == PinResult::StoreDown);
  }
}

TEST_CASE("a forward that may have reached its owner never ends as certainly not written")
{
  RegisterService::Options options;
  options.mSelf = InstanceId("a");
  RegisterService service(options, WriteOnceRegisters(ShardedRegisters({})));
  service.SetMembers({ InstanceId("b") });
  const TimePoint now{};
  const bool reached = GENERATE(false, true);
  auto output = service.Submit({ 7, false, { "claim/t/k", "v", kNow } }, now);
  REQUIRE(output.mForwards.size() == 1);
  const auto verdict = reached ? Verdict::MayHaveRun : Verdict::NotRun;
  output = service.OnForwardReply(output.mForwards.front().mId, verdict, std::nullopt, now);
  REQUIRE(output.mCalls.size() == 1);
  ObjectReply down;
  down.mId = output.mCalls.front().mId;
  down.mStatus = ObjectStatus::Unavailable;
  output = service.OnReply(down, now);
  REQUIRE(output.mOutcomes.size() == 1);
  CHECK(output.mOutcomes.front().mResult ==
        (reached ? RegisterResult::Unresolved : RegisterResult::NotWritten));
}

TEST_CASE("ledger messages that cannot be read are refused")
{
  CHECK_FALSE(DecodeRegisterForward("{\"read\":false,\"register\":\"x\"}"));
  CHECK_FALSE(DecodeRegisterForwardReply("{\"result\":\"maybe\",\"value\":\"\"}"));
  CHECK_FALSE(DecodeClaimRecord("{}"));
  CHECK_FALSE(DecodeOutcomeRecord("[1]"));
  CHECK_FALSE(DecodeClaimStatusReply("{\"state\":1}"));
  CHECK_FALSE(DecodeUsageBatch("{\"owner\":\"o\",\"sequence\":1,\"records\":[{}]}"));
  CHECK_FALSE(DecodeUsageDrop("nonsense"));
  CHECK_FALSE(DecodeHead("{\"first\":0,\"number\":0,\"sealed\":false,\"registers\":[{\"k\":1}]}"));
}
