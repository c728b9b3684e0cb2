#include "PinManager.h"

#include <skylarkchute_bundles/json/JsonObject.h>

namespace skylarkchute {

namespace {

std::string PinKey(const TeamName& aTeam, const SessionId& aSession)
{
  return "pin/" + aTeam.Value() + "/" + aSession.Value();
}

/** The value of a pin register. */
struct PinRecord
{
  VersionId mVersion;
  WallTime mExpires;
};

std::string EncodePin(const PinRecord& aRecord)
{
  Json::Value json;
  json["version"] = aRecord.mVersion.Value();
  json["expires"] = TimeToJson(aRecord.mExpires);
  return WriteJson(json);
}

std::optional<PinRecord> DecodePin(const std::string& aText)
{
  JsonObject json(aText);
  const PinRecord record{ VersionId(json.Text("version")), json.Time("expires") };
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return record;
}

} // namespace

std::optional<VersionId> PinManager::Find(const TeamName& aTeam,
                                          const SessionId& aSession,
                                          WallTime aWallNow)
{
  const auto it = mCacheByKey.find(PinKey(aTeam, aSession));
  if (it == mCacheByKey.end() || it->second->mExpires <= aWallNow) {
    return std::nullopt;
  }
  mCache.splice(mCache.begin(), mCache, it->second);
  return it->second->mVersion;
}

PinOutput PinManager::Pin(const RequestId& aRequest,
                          const TeamName& aTeam,
                          const SessionId& aSession,
                          const VersionId& aVersion,
                          WallTime aWallNow,
                          WallTime aExpires)
{
  PinOutput output;
  if (const auto known = Find(aTeam, aSession, aWallNow)) {
    output.mAnswers.push_back({ aRequest, PinResult::Pinned, *known });
    return output;
  }
  const auto operationId = mNextOperationId++;
  const auto key = PinKey(aTeam, aSession);
  mPendingPins.emplace(operationId, PendingPin{ aRequest, key, aExpires });
  output.mRegisters.push_back(
    { operationId, false, { key, EncodePin({ aVersion, aExpires }), aExpires } });
  return output;
}

PinOutput PinManager::OnRegister(const RegisterOutcome& aOutcome)
{
  PinOutput output;
  const auto it = mPendingPins.find(aOutcome.mOperationId);
  if (it == mPendingPins.end()) {
    return output;
  }
  const auto pending = std::move(it->second);
  mPendingPins.erase(it);
  const bool durable =
    aOutcome.mResult == RegisterResult::Won || aOutcome.mResult == RegisterResult::Lost;
  const auto pin = durable ? DecodePin(aOutcome.mValue) : std::nullopt;
  if (!pin) {
    output.mAnswers.push_back({ pending.mRequest, PinResult::StoreDown, {} });
    return output;
  }
  AddToCache({ pending.mKey, pin->mVersion, pin->mExpires });
  output.mAnswers.push_back({ pending.mRequest, PinResult::Pinned, pin->mVersion });
  return output;
}

void PinManager::AddToCache(CachedPin aPin)
{
  const auto old = mCacheByKey.find(aPin.mKey);
  if (old != mCacheByKey.end()) {
    mCache.erase(old->second);
    mCacheByKey.erase(old);
  }
  mCache.push_front(std::move(aPin));
  mCacheByKey.emplace(mCache.front().mKey, mCache.begin());
  if (mCache.size() > mOptions.mMaxCachedPins) {
    mCacheByKey.erase(mCache.back().mKey);
    mCache.pop_back();
  }
}

} // namespace skylarkchute
