#include "AlertGossip.h"

#include "../events/PeersEvents.h"
#include "../messages/Methods.h"

#include <skylarkchute_bundles/json/JsonObject.h>

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace skylarkchute {

namespace {

std::string DeduplicationKey(const RoutingAlert& aAlert)
{
  const auto version = aAlert.mVersion ? aAlert.mVersion->Value() : std::string();
  const auto suspect = aAlert.mSuspect ? aAlert.mSuspect->Value() : std::string();
  const auto endpoint = aAlert.mCrashedEndpoint.value_or(EndpointId()).Value();
  return version + "\n" + suspect + "\n" + std::to_string(aAlert.mCrashCount) + "\n" + endpoint;
}

} // namespace

std::string EncodeAlertMessage(const AlertMessage& aMessage)
{
  const auto& alert = aMessage.mAlert;
  Json::Value json;
  json["origin"] = aMessage.mOrigin.Value();
  json["version"] = alert.mVersion ? alert.mVersion->Value() : std::string();
  json["suspect"] = alert.mSuspect ? alert.mSuspect->Value() : std::string();
  json["endpoint"] = alert.mCrashedEndpoint.value_or(EndpointId()).Value();
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
  const auto endpoint = json.Text("endpoint");
  message.mAlert.mCrashCount = static_cast<std::uint32_t>(json.Count("crashes"));
  message.mAlert.mReason = json.Text("reason");
  if (!json.IsValid() || (version.empty() && suspect.empty())) {
    return std::nullopt;
  }
  if (!version.empty()) {
    message.mAlert.mVersion = VersionId(version);
  }
  if (!endpoint.empty()) {
    message.mAlert.mCrashedEndpoint = EndpointId(endpoint);
  }
  if (!suspect.empty()) {
    message.mAlert.mSuspect = Fingerprint(suspect);
  }
  return message;
}

AlertGossip::AlertGossip(Options aOptions) : mOptions(std::move(aOptions)), mRandom(mOptions.mSeed)
{
}

AlertOutput AlertGossip::Raise(const RoutingAlert& aAlert, TimePoint aNow)
{
  AlertOutput output;
  if (RecordIfNew(aAlert, aNow)) {
    output.mEvents.push_back({ &kAlertRaised, { { "reason", aAlert.mReason } } });
    StartSpreading({ mOptions.mSelf, aAlert }, aNow, output);
  }
  return output;
}

AlertOutput AlertGossip::OnAlertMessage(const std::string& aParams, TimePoint aNow)
{
  AlertOutput output;
  auto message = DecodeAlertMessage(aParams);
  if (!message || !RecordIfNew(message->mAlert, aNow)) {
    return output;
  }
  output.mAlerts.push_back(message->mAlert);
  output.mEvents.push_back({ &kAlertTaken, { { "origin", message->mOrigin.Value() } } });
  StartSpreading(std::move(*message), aNow, output);
  return output;
}

bool AlertGossip::RecordIfNew(const RoutingAlert& aAlert, TimePoint aNow)
{
  while (!mSeenByExpiry.empty() && (mSeenByExpiry.front().mExpiresAt <= aNow ||
                                    mSeenByExpiry.size() >= mOptions.mMaxRemembered)) {
    mSeen.erase(mSeenByExpiry.front().mKey);
    mSeenByExpiry.pop_front();
  }
  const auto key = DeduplicationKey(aAlert);
  if (!mSeen.insert(key).second) {
    return false;
  }
  mSeenByExpiry.push_back({ key, aNow + mOptions.mRetentionTime });
  return true;
}

void AlertGossip::StartSpreading(AlertMessage aMessage, TimePoint aNow, AlertOutput& aOutput)
{
  ActiveAlert active{ std::move(aMessage), mOptions.mRounds, aNow };
  SendRound(active, aNow, aOutput);
  mActiveAlerts.push_back(std::move(active));
}

void AlertGossip::SendRound(ActiveAlert& aActive, TimePoint aNow, AlertOutput& aOutput)
{
  --aActive.mRoundsLeft;
  aActive.mNextRound = aNow + mOptions.mRoundInterval;
  auto targets = mPeers;
  const auto count = std::min(mOptions.mFanout, targets.size());
  for (std::size_t n = 0; n < count; ++n) {
    boost::random::uniform_int_distribution<std::size_t> draw(n, targets.size() - 1);
    std::swap(targets[n], targets[draw(mRandom)]);
    aOutput.mCalls.push_back({ mNextCall++,
                               targets[n],
                               kAlertSpreadMethod,
                               EncodeAlertMessage(aActive.mMessage),
                               mOptions.mCallTimeout });
  }
}

AlertOutput AlertGossip::Tick(TimePoint aNow)
{
  AlertOutput output;
  for (auto& it : mActiveAlerts) {
    if (it.mRoundsLeft > 0 && aNow >= it.mNextRound) {
      SendRound(it, aNow, output);
    }
  }
  mActiveAlerts.erase(
    std::remove_if(mActiveAlerts.begin(),
                   mActiveAlerts.end(),
                   [](const ActiveAlert& aActive) { return aActive.mRoundsLeft == 0; }),
    mActiveAlerts.end());
  return output;
}

} // namespace skylarkchute
