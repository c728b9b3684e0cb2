#include "PeerMessages.h"

#include "../json/JsonObject.h"

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

/** Value of `confirmed-age-ms` for an empty mConfirmedAge. */
constexpr std::uint64_t kNeverConfirmed = UINT64_MAX;
/** Larger ages are clamped, so that arithmetic on them cannot overflow. */
constexpr std::chrono::milliseconds kMaxConfirmedAge = std::chrono::hours(24);

std::uint64_t AgeToJson(const std::optional<std::chrono::milliseconds>& aAge)
{
  return aAge ? static_cast<std::uint64_t>(aAge->count()) : kNeverConfirmed;
}

std::optional<std::chrono::milliseconds> AgeFromJson(std::uint64_t aAge)
{
  if (aAge == kNeverConfirmed) {
    return std::nullopt;
  }
  const auto longest = static_cast<std::uint64_t>(kMaxConfirmedAge.count());
  return std::chrono::milliseconds(std::min(aAge, longest));
}

} // namespace

std::string WritePartsRequest(const PeerPartsRequest& aRequest)
{
  Json::Value value(Json::objectValue);
  value["id"] = Json::UInt64(aRequest.mId);
  value["known-generation"] = Json::UInt64(aRequest.mKnownGeneration);
  value["hashes"] = Json::Value(Json::arrayValue);
  for (const auto& it : aRequest.mHashes) {
    value["hashes"].append(it);
  }
  return WriteJson(value);
}

std::string WritePartsAnswer(const PeerPartsAnswer& aAnswer)
{
  Json::Value value(Json::objectValue);
  value["id"] = Json::UInt64(aAnswer.mId);
  value["from"] = aAnswer.mHead.mFrom.Value();
  value["generation"] = Json::UInt64(aAnswer.mHead.mGeneration);
  value["confirmed-age-ms"] = Json::UInt64(AgeToJson(aAnswer.mHead.mConfirmedAge));
  value["head"] = aAnswer.mHeadJson;
  value["parts"] = Json::Value(Json::arrayValue);
  for (const auto& it : aAnswer.mParts) {
    Json::Value part(Json::objectValue);
    part["name"] = it.mName;
    part["hash"] = it.mHash;
    part["text"] = it.mText;
    value["parts"].append(std::move(part));
  }
  return WriteJson(value);
}

leaf::result<PeerPartsRequest> ReadPartsRequest(const std::string& aJson)
{
  JsonObject object(aJson);
  PeerPartsRequest request;
  request.mId = object.Count("id");
  request.mKnownGeneration = object.Count("known-generation");
  for (const auto& it : object.Array("hashes")) {
    if (!it.isString()) {
      object.MarkInvalid("hashes");
      continue;
    }
    request.mHashes.push_back(it.asString());
  }
  if (auto checked = object.Check("parts request"); !checked) {
    return checked.error();
  }
  return request;
}

leaf::result<PeerPartsAnswer> ReadPartsAnswer(const std::string& aJson)
{
  JsonObject object(aJson);
  PeerPartsAnswer answer;
  answer.mId = object.Count("id");
  answer.mHead.mFrom = InstanceId(object.Text("from"));
  answer.mHead.mGeneration = object.Count("generation");
  answer.mHead.mConfirmedAge = AgeFromJson(object.Count("confirmed-age-ms"));
  answer.mHeadJson = object.Text("head");
  for (const auto& it : object.Array("parts")) {
    JsonObject part(it);
    answer.mParts.push_back({ part.Text("name"), part.Text("hash"), part.Text("text") });
    if (!part.Check("part")) {
      object.MarkInvalid("parts");
    }
  }
  if (auto checked = object.Check("parts answer"); !checked) {
    return checked.error();
  }
  return answer;
}

} // namespace skylarkchute
