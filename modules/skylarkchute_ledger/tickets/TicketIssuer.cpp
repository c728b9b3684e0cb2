#include "TicketIssuer.h"

#include <skylarkchute_bundles/json/JsonObject.h>

namespace skylarkchute {

namespace {

constexpr const char* kPrefix = "tkt1.";
constexpr const char* kPurpose = "ticket";

/** The signed content of a ticket. */
struct TicketPayload
{
  IncarnationId mIssuer;
  TeamName mTeam;
  std::uint64_t mSerial = 0;
  WallTime mExpires;
};

std::string EncodeTicket(const TicketPayload& aTicket)
{
  Json::Value json;
  json["issuer"] = aTicket.mIssuer.Value();
  json["team"] = aTicket.mTeam.Value();
  json["serial"] = Json::UInt64(aTicket.mSerial);
  json["expires"] = TimeToJson(aTicket.mExpires);
  return WriteJson(json);
}

std::optional<TicketPayload> DecodeTicket(const std::string& aText)
{
  JsonObject json(aText);
  const TicketPayload ticket{ IncarnationId(json.Text("issuer")),
                              TeamName(json.Text("team")),
                              json.Count("serial"),
                              json.Time("expires") };
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return ticket;
}

TicketAnswer MakeAnswer(TicketResult aResult)
{
  TicketAnswer answer;
  answer.mResult = aResult;
  return answer;
}

} // namespace

TicketIssuer::TicketIssuer(Options aOptions, KeyRing aKeys)
  : mOptions(std::move(aOptions))
  , mKeys(std::move(aKeys))
{
}

std::optional<std::string> TicketIssuer::Issue(const TeamName& aTeam, WallTime aWallNow)
{
  if (mKeys.IsEmpty()) {
    return std::nullopt;
  }
  const auto serial = mNextSerial++;
  mRedeemed.push_back(false);
  if (mRedeemed.size() > mOptions.mMaxTrackedTickets) {
    mRedeemed.pop_front();
    ++mFirstTrackedSerial;
  }
  const TicketPayload ticket{ mOptions.mSelf, aTeam, serial, aWallNow + mOptions.mLifetime };
  return kPrefix + mKeys.Sign(kPurpose, EncodeBase64Url(EncodeTicket(ticket)));
}

TicketAnswer TicketIssuer::Redeem(const std::string& aTicket,
                                  const TeamName& aTeam,
                                  const RequestId& aRequest,
                                  const Fingerprint& aFingerprint,
                                  WallTime aWallNow)
{
  const std::string prefix = kPrefix;
  if (aTicket.rfind(prefix, 0) != 0) {
    return MakeAnswer(TicketResult::NotATicket);
  }
  const auto payload = mKeys.Verify(kPurpose, aTicket.substr(prefix.size()));
  const auto text = payload ? DecodeBase64Url(*payload) : std::nullopt;
  const auto ticket = text ? DecodeTicket(*text) : std::nullopt;
  if (!ticket || ticket->mTeam != aTeam) {
    return MakeAnswer(TicketResult::Invalid);
  }
  if (ticket->mIssuer != mOptions.mSelf) {
    auto answer = MakeAnswer(TicketResult::IssuedElsewhere);
    answer.mIssuer = ticket->mIssuer;
    return answer;
  }
  return RedeemOwn(ticket->mSerial, aRequest, aFingerprint, ticket->mExpires <= aWallNow);
}

TicketAnswer TicketIssuer::RedeemOwn(std::uint64_t aSerial,
                                     const RequestId& aRequest,
                                     const Fingerprint& aFingerprint,
                                     bool aExpired)
{
  const auto used = mRedeemedTickets.find(aSerial);
  if (used != mRedeemedTickets.end()) {
    if (used->second.mFingerprint != aFingerprint) {
      return MakeAnswer(TicketResult::KeyReused);
    }
    const bool running = used->second.mState == State::Running;
    auto answer = MakeAnswer(running ? TicketResult::AlreadyRunning : TicketResult::Finished);
    answer.mRunning = used->second.mRequest;
    if (!running) {
      answer.mOutcome = used->second.mOutcome;
    }
    return answer;
  }
  if (IsRedeemed(aSerial)) {
    return MakeAnswer(TicketResult::MayHaveRun);
  }
  if (aExpired) {
    return MakeAnswer(TicketResult::Expired);
  }
  SetRedeemed(aSerial, true);
  mRedeemedTickets[aSerial] = { aRequest, aFingerprint, State::Running, {} };
  mRunning[aRequest] = aSerial;
  return MakeAnswer(TicketResult::Run);
}

void TicketIssuer::Finish(const RequestId& aRequest, const ClaimOutcome& aOutcome)
{
  const auto running = mRunning.find(aRequest);
  if (running == mRunning.end()) {
    return;
  }
  const auto serial = running->second;
  mRunning.erase(running);
  if (aOutcome.mVerdict == Verdict::NotRun) {
    mRedeemedTickets.erase(serial);
    SetRedeemed(serial, false);
    return;
  }
  auto& used = mRedeemedTickets.at(serial);
  used.mState = State::Finished;
  used.mOutcome = aOutcome;
  if (used.mOutcome.mBody.size() > mOptions.mMaxStoredBodyBytes) {
    used.mOutcome.mBody.clear();
    used.mOutcome.mBodyDropped = true;
  }
  mFinished.push_back(serial);
  EvictOldestOutcome();
}

void TicketIssuer::EvictOldestOutcome()
{
  if (mFinished.size() > mOptions.mMaxStoredOutcomes) {
    mRedeemedTickets.erase(mFinished.front());
    mFinished.pop_front();
  }
}

bool TicketIssuer::IsRedeemed(std::uint64_t aSerial) const
{
  if (aSerial < mFirstTrackedSerial) {
    return true;
  }
  const auto index = aSerial - mFirstTrackedSerial;
  return index >= mRedeemed.size() || mRedeemed[index];
}

void TicketIssuer::SetRedeemed(std::uint64_t aSerial, bool aRedeemed)
{
  if (aSerial >= mFirstTrackedSerial) {
    mRedeemed[aSerial - mFirstTrackedSerial] = aRedeemed;
  }
}

} // namespace skylarkchute
