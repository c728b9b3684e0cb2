#include "TicketOffice.h"

#include <skylarkchute_bundles/json/JsonObject.h>

namespace skylarkchute {

namespace {

constexpr const char* kPrefix = "tkt1.";
constexpr const char* kPurpose = "ticket";

/** What a ticket says. */
struct TicketText
{
  IncarnationId mIssuer;
  TeamName mTeam;
  std::uint64_t mSerial = 0;
  WallTime mExpires;
};

std::string EncodeTicket(const TicketText& aTicket)
{
  Json::Value json;
  json["issuer"] = aTicket.mIssuer.Value();
  json["team"] = aTicket.mTeam.Value();
  json["serial"] = Json::UInt64(aTicket.mSerial);
  json["expires"] = TimeToJson(aTicket.mExpires);
  return WriteJson(json);
}

std::optional<TicketText> DecodeTicket(const std::string& aText)
{
  JsonObject json(aText);
  const TicketText ticket{ IncarnationId(json.Text("issuer")),
                           TeamName(json.Text("team")),
                           json.Count("serial"),
                           json.Time("expires") };
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return ticket;
}

TicketAnswer Only(TicketResult aResult)
{
  TicketAnswer answer;
  answer.mResult = aResult;
  return answer;
}

} // namespace

TicketOffice::TicketOffice(Options aOptions, KeyRing aKeys)
  : mOptions(std::move(aOptions))
  , mKeys(std::move(aKeys))
{
}

std::optional<std::string> TicketOffice::Issue(const TeamName& aTeam, WallTime aWallNow)
{
  if (mKeys.IsEmpty()) {
    return std::nullopt;
  }
  const auto serial = mNextSerial++;
  mHandedIn.push_back(false);
  if (mHandedIn.size() > mOptions.mMostTickets) {
    mHandedIn.pop_front();
    ++mFirstKnown;
  }
  const TicketText ticket{ mOptions.mSelf, aTeam, serial, aWallNow + mOptions.mLifetime };
  return kPrefix + mKeys.Sign(kPurpose, EncodeBase64Url(EncodeTicket(ticket)));
}

TicketAnswer TicketOffice::Accept(const std::string& aTicket,
                                  const TeamName& aTeam,
                                  const RequestId& aRequest,
                                  const Fingerprint& aFingerprint,
                                  WallTime aWallNow)
{
  const std::string prefix = kPrefix;
  if (aTicket.rfind(prefix, 0) != 0) {
    return Only(TicketResult::NotATicket);
  }
  const auto payload = mKeys.Verify(kPurpose, aTicket.substr(prefix.size()));
  const auto text = payload ? DecodeBase64Url(*payload) : std::nullopt;
  const auto ticket = text ? DecodeTicket(*text) : std::nullopt;
  if (!ticket || ticket->mTeam != aTeam) {
    return Only(TicketResult::Invalid);
  }
  if (ticket->mIssuer != mOptions.mSelf) {
    auto answer = Only(TicketResult::Foreign);
    answer.mIssuer = ticket->mIssuer;
    return answer;
  }
  return AcceptOwn(ticket->mSerial, aRequest, aFingerprint, ticket->mExpires <= aWallNow);
}

TicketAnswer TicketOffice::AcceptOwn(std::uint64_t aSerial,
                                     const RequestId& aRequest,
                                     const Fingerprint& aFingerprint,
                                     bool aExpired)
{
  const auto used = mUsed.find(aSerial);
  if (used != mUsed.end()) {
    if (used->second.mFingerprint != aFingerprint) {
      return Only(TicketResult::KeyReused);
    }
    const bool running = used->second.mState == State::Running;
    auto answer = Only(running ? TicketResult::AlreadyRunning : TicketResult::Finished);
    answer.mRunning = used->second.mRequest;
    if (!running) {
      answer.mOutcome = used->second.mOutcome;
    }
    return answer;
  }
  if (WasHandedIn(aSerial)) {
    return Only(TicketResult::MayHaveRun);
  }
  if (aExpired) {
    return Only(TicketResult::Expired);
  }
  MarkHandedIn(aSerial, true);
  mUsed[aSerial] = { aRequest, aFingerprint, State::Running, {} };
  mRunning[aRequest] = aSerial;
  return Only(TicketResult::Run);
}

void TicketOffice::Finish(const RequestId& aRequest, const ClaimOutcome& aOutcome)
{
  const auto running = mRunning.find(aRequest);
  if (running == mRunning.end()) {
    return;
  }
  const auto serial = running->second;
  mRunning.erase(running);
  if (aOutcome.mVerdict == Verdict::NotRun) {
    mUsed.erase(serial);
    MarkHandedIn(serial, false);
    return;
  }
  auto& used = mUsed.at(serial);
  used.mState = State::Finished;
  used.mOutcome = aOutcome;
  if (used.mOutcome.mBody.size() > mOptions.mLargestBodyBytes) {
    used.mOutcome.mBody.clear();
    used.mOutcome.mBodyDropped = true;
  }
  mFinished.push_back(serial);
  ForgetOldest();
}

void TicketOffice::ForgetOldest()
{
  if (mFinished.size() > mOptions.mMostOutcomes) {
    mUsed.erase(mFinished.front());
    mFinished.pop_front();
  }
}

bool TicketOffice::WasHandedIn(std::uint64_t aSerial) const
{
  if (aSerial < mFirstKnown) {
    return true;
  }
  const auto index = aSerial - mFirstKnown;
  return index >= mHandedIn.size() || mHandedIn[index];
}

void TicketOffice::MarkHandedIn(std::uint64_t aSerial, bool aHandedIn)
{
  if (aSerial >= mFirstKnown) {
    mHandedIn[aSerial - mFirstKnown] = aHandedIn;
  }
}

} // namespace skylarkchute
