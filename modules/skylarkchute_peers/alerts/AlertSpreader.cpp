#include "AlertSpreader.h"

#include "../events/PeersEvents.h"
#include "../messages/Methods.h"

#include <skylarkchute_bundles/json/JsonObject.h>

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace skylarkchute {

namespace {

std::string Content(const RoutingAlert& aAlert)
{
  const auto version = aAlert.mVersion ? aAlert.mVersion->Value() : std::string();
  const auto suspect = aAlert.mSuspect ? aAlert.mSuspect->Value() : std::string();
  return version + "\n" + suspect + "\n" + std::to_string(aAlert.mCrashCount);
}

} // namespace

std::string EncodeAlertMessage(const AlertMessage& aMessage)
{
  const auto& alert = aMessage.mAlert;
  Json::Value json;
  json["origin"] = aMessage.mOrigin.Value();
  json["version"] = alert.mVersion ? alert.mVersion->Value() : std::string();
  json["suspect"] = alert.mSuspect ? alert.mSuspect->Value() : std::string();
  json["crashes"] = Json::UInt64(alert.mCrashCount);
  json["reason"] = alert.mReason;
  return WriteJson(json);
}

std::optional<AlertMessage> DecodeAlertMessage(const std::string& aText)
{
  JsonObject json(aText);
  AlertMessage message;
  message.mOrigin = InstanceId(json.Text("origin"));
  const auto version = json.Text("version");
  const auto suspect = json.Text("suspect");
  message.mAlert.mCrashCount = static_cast<std::uint32_t>(json.Count("crashes"));
  message.mAlert.mReason = json.Text("reason");
  if (!json.IsValid() || (version.empty() && suspect.empty())) {
    return std::nullopt;
  }
  if (!version.empty()) {
    message.mAlert.mVersion = VersionId(version);
  }
  if (!suspect.empty()) {
    message.mAlert.mSuspect = Fingerprint(suspect);
  }
  return message;
}

AlertSpreader::AlertSpreader(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
}

AlertOutput AlertSpreader::Raise(const RoutingAlert& aAlert, TimePoint aNow)
{
  AlertOutput output;
  if (IsNew(aAlert, aNow)) {
    output.mEvents.push_back({ &kAlertRaised, { { "reason", aAlert.mReason } } });
    Start({ mOptions.mSelf, aAlert }, aNow, output);
  }
  return output;
}

AlertOutput AlertSpreader::OnSpread(const std::string& aParams, TimePoint aNow)
{
  AlertOutput output;
  auto message = DecodeAlertMessage(aParams);
  if (!message || !IsNew(message->mAlert, aNow)) {
    return output;
  }
  output.mAlerts.push_back(message->mAlert);
  output.mEvents.push_back({ &kAlertTaken, { { "origin", message->mOrigin.Value() } } });
  Start(std::move(*message), aNow, output);
  return output;
}

bool AlertSpreader::IsNew(const RoutingAlert& aAlert, TimePoint aNow)
{
  while (!mSeenInOrder.empty() &&
         (mSeenInOrder.front().mUntil <= aNow || mSeenInOrder.size() >= mOptions.mMostRemembered)) {
    mSeen.erase(mSeenInOrder.front().mContent);
    mSeenInOrder.pop_front();
  }
  const auto content = Content(aAlert);
  if (!mSeen.insert(content).second) {
    return false;
  }
  mSeenInOrder.push_back({ content, aNow + mOptions.mRemember });
  return true;
}

void AlertSpreader::Start(AlertMessage aMessage, TimePoint aNow, AlertOutput& aOutput)
{
  Rumour rumour{ std::move(aMessage), mOptions.mRounds, aNow };
  Spread(rumour, aNow, aOutput);
  mRumours.push_back(std::move(rumour));
}

void AlertSpreader::Spread(Rumour& aRumour, TimePoint aNow, AlertOutput& aOutput)
{
  --aRumour.mRoundsLeft;
  aRumour.mNextRound = aNow + mOptions.mRoundTime;
  auto targets = mPeers;
  const auto count = std::min(mOptions.mFanout, targets.size());
  for (std::size_t n = 0; n < count; ++n) {
    boost::random::uniform_int_distribution<std::size_t> draw(n, targets.size() - 1);
    std::swap(targets[n], targets[draw(mRandom)]);
    aOutput.mCalls.push_back({ mNextCall++,
                               targets[n],
                               kAlertSpreadMethod,
                               EncodeAlertMessage(aRumour.mMessage),
                               mOptions.mCallTimeout });
  }
}

AlertOutput AlertSpreader::Tick(TimePoint aNow)
{
  AlertOutput output;
  for (auto& it : mRumours) {
    if (it.mRoundsLeft > 0 && aNow >= it.mNextRound) {
      Spread(it, aNow, output);
    }
  }
  mRumours.erase(std::remove_if(mRumours.begin(),
                                mRumours.end(),
                                [](const Rumour& aRumour) { return aRumour.mRoundsLeft == 0; }),
                 mRumours.end());
  return output;
}

} // namespace skylarkchute
