#include "RelayStatus.h"

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

std::string_view StateName(RolloutState aState)
{
  switch (aState) {
    case RolloutState::Running:
      return "running";
    case RolloutState::Completed:
      return "completed";
    case RolloutState::RolledBack:
      return "rolled back";
  }
  return "running";
}

std::string_view StateName(const FleetRow& aRow, TimePoint aNow)
{
  if (aRow.mMissingSince) {
    return "lapsed";
  }
  if (!aRow.IsOpen()) {
    return "draining";
  }
  if (aRow.mNotices.Limit()) {
    return "limited";
  }
  return aRow.mHealth.Allows(aNow) ? "open" : "avoided";
}

std::string_view RoleName(StoreRole aRole)
{
  switch (aRole) {
    case StoreRole::None:
      return "none";
    case StoreRole::Follows:
      return "follows";
    case StoreRole::Fails:
      return "fails";
  }
  return "none";
}

Json::Value ConfigToJson(const RelayStatusSource& aSource, TimePoint aNow)
{
  Json::Value config(Json::objectValue);
  if (const auto& known = aSource.mRouter.Config()) {
    const auto age = aNow - aSource.mMirror.ChangedAt(ObjectKind::Config);
    config["version"] = Json::UInt64(known->Config().mVersion);
    config["age_ms"] = Json::Int64(std::chrono::duration_cast<milliseconds>(age).count());
  }
  config["behind_ms"] = Json::Int64(aSource.mConfigLag.count());
  return config;
}

Json::Value EndpointsToJson(const RelayStatusSource& aSource, TimePoint aNow)
{
  Json::Value endpoints(Json::arrayValue);
  for (auto& [id, row] : aSource.mRouter.Endpoints().All()) {
    Json::Value entry(Json::objectValue);
    entry["id"] = id.Value();
    entry["service"] = row.mEntry.mService.Value();
    entry["version"] = row.mEntry.mVersion;
    entry["zone"] = row.mEntry.mZone.Value();
    entry["state"] = std::string(StateName(row, aNow));
    entry["outstanding"] = row.mOutstanding;
    if (const auto limit = row.mNotices.Limit()) {
      entry["limit"] = *limit;
    }
    if (aSource.mRouter.IsCold(row, aNow)) {
      const auto left = std::chrono::ceil<milliseconds>(row.mWarmth.ColdUntil() - aNow);
      entry["cold_ms"] = Json::Int64(left.count());
    }
    if (aSource.mRouter.Endpoints().IsEvacuated(row.mEntry.mZone)) {
      entry["evacuated"] = true;
    }
    entry["failure_rate"] = row.mHealth.FailureRate(aNow);
    endpoints.append(entry);
  }
  return endpoints;
}

Json::Value RetriesToJson(const RelayStatusSource& aSource, TimePoint aNow)
{
  Json::Value retries(Json::arrayValue);
  for (const auto& [service, use] : aSource.mRouter.RetryUsages(aNow)) {
    Json::Value entry(Json::objectValue);
    entry["service"] = service.Value();
    entry["used"] = use.mRepeats;
    entry["room"] = use.mRetryLimit;
    entry["pressure"] = aSource.mRouter.Endpoints().Pressure(service, aNow);
    retries.append(entry);
  }
  return retries;
}

Json::Value AdmissionToJson(const RelayStatusSource& aSource, TimePoint aNow)
{
  Json::Value admission(Json::arrayValue);
  for (const auto& it : aSource.mRouter.Admission().Summaries(aNow)) {
    Json::Value entry(Json::objectValue);
    entry["service"] = it.mService.Value();
    entry["waiting"] = Json::UInt64(it.mWaiting);
    entry["oldest_ms"] = Json::Int64(it.mOldest.count());
    entry["waits"] = Json::UInt64(it.mWaits);
    entry["released_per_s"] = it.mRate;
    entry["contenders"] = it.mContenders;
    entry["ranks"] = Json::Value(Json::objectValue);
    for (const auto& [rank, count] : it.mWaitingByRank) {
      entry["ranks"][std::to_string(rank)] = Json::UInt64(count);
    }
    entry["refused"] = Json::Value(Json::arrayValue);
    for (const auto& [kind, count] : it.mRefusals) {
      Json::Value refused(Json::objectValue);
      refused["rank"] = Json::UInt64(kind.first);
      refused["reason"] = std::string(AdmissionRefusalName(kind.second));
      refused["count"] = Json::UInt64(count);
      entry["refused"].append(refused);
    }
    entry["refused_teams"] = Json::Value(Json::objectValue);
    for (const auto& [team, count] : it.mRefusedTeams) {
      entry["refused_teams"][team] = Json::UInt64(count);
    }
    admission.append(entry);
  }
  return admission;
}

Json::Value RolloutsToJson(const RelayStatusSource& aSource)
{
  Json::Value rollouts(Json::arrayValue);
  const auto& tracker = aSource.mRouter.Rollouts();
  for (const auto& it : tracker.Services()) {
    const auto* order = tracker.Order(it);
    Json::Value entry(Json::objectValue);
    entry["service"] = it.Value();
    entry["target"] = order->mTarget;
    entry["state"] = std::string(StateName(order->mState));
    entry["period_ms"] = Json::Int64(order->mPeriod.count());
    rollouts.append(entry);
  }
  return rollouts;
}

} // namespace

void SetAdmissionMetrics(MetricsRegistry& aMetrics, const ServiceAdmission::Summary& aSummary)
{
  const auto service = "service=\"" + aSummary.mService.Value() + "\"";
  aMetrics.Set("skylarkchute_waiting_requests", service, static_cast<double>(aSummary.mWaiting));
  aMetrics.Set("skylarkchute_admission_contenders", service, aSummary.mContenders);
  for (const auto& [kind, count] : aSummary.mRefusals) {
    aMetrics.Set("skylarkchute_admission_refusals",
                 service + ",rank=\"" + std::to_string(kind.first) + "\",reason=\"" +
                   std::string(AdmissionRefusalName(kind.second)) + "\"",
                 static_cast<double>(count));
  }
}

Json::Value RelayStatusDocument(const RelayStatusSource& aSource, TimePoint aNow)
{
  Json::Value document(Json::objectValue);
  document["program"] = "relay";
  document["name"] = aSource.mSelf.mName;
  document["incarnation"] = aSource.mSelf.mIncarnation;
  document["zone"] = aSource.mSelf.mZone;
  document["ready"] = aSource.mIsReady;
  document["leaving"] = aSource.mIsLeaving;
  document["config"] = ConfigToJson(aSource, aNow);
  document["store_unserved"] = Json::Value(Json::arrayValue);
  for (const auto it : aSource.mFailedKinds) {
    document["store_unserved"].append(std::string(KindName(it)));
  }
  document["store_era"] = Json::UInt64(aSource.mMirror.Era());
  document["store_role"] = std::string(RoleName(aSource.mStoreRole));
  if (aSource.mConfirmationAge) {
    document["store_confirmed_ms"] = Json::Int64(aSource.mConfirmationAge->count());
  }
  document["peers"] = Json::Value(Json::arrayValue);
  for (const auto& it : aSource.mPeers) {
    document["peers"].append(it.Value());
  }
  for (const auto& it : aSource.mRouter.Endpoints().EvacuatedZones()) {
    document["evacuated_zones"].append(it.Value());
  }
  if (aSource.mRouter.IsColdShareUnknown()) {
    document["cold_share_unknown"] = true;
  }
  document["endpoints"] = EndpointsToJson(aSource, aNow);
  document["retries"] = RetriesToJson(aSource, aNow);
  document["admission"] = AdmissionToJson(aSource, aNow);
  document["rollouts"] = RolloutsToJson(aSource);
  return document;
}

} // namespace skylarkchute
