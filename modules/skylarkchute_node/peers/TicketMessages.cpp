#include "TicketMessages.h"

namespace skylarkchute {

namespace {

std::string OutcomeText(const ClaimOutcome& aOutcome)
{
  return EncodeOutcomeRecord({ false, aOutcome });
}

std::optional<ClaimOutcome> OutcomeOf(const Json::Value& aObject)
{
  const auto record = DecodeOutcomeRecord(JsonTextField(aObject, "outcome"));
  if (!record) {
    return std::nullopt;
  }
  return record->mOutcome;
}

} // namespace

std::string EncodeTicketRequest(const TicketRequest& aRequest)
{
  Json::Value object(Json::objectValue);
  object["issuer"] = aRequest.mIssuer.Value();
  object["ticket"] = aRequest.mTicket;
  object["team"] = aRequest.mTeam.Value();
  object["request"] = aRequest.mRequest.Value();
  object["fingerprint"] = aRequest.mFingerprint.Value();
  return WriteJson(object);
}

std::string EncodeTicketAnswer(const TicketAnswer& aAnswer)
{
  Json::Value object(Json::objectValue);
  object["result"] = static_cast<Json::UInt>(aAnswer.mResult);
  if (aAnswer.mOutcome) {
    object["outcome"] = OutcomeText(*aAnswer.mOutcome);
  }
  return WriteJson(object);
}

std::string EncodeTicketFinish(const TicketFinish& aFinish)
{
  Json::Value object(Json::objectValue);
  object["request"] = aFinish.mRequest.Value();
  object["outcome"] = OutcomeText(aFinish.mOutcome);
  return WriteJson(object);
}

std::optional<TicketRequest> DecodeTicketRequest(const std::string& aText)
{
  const auto object = ReadJsonObject(aText);
  if (!object) {
    return std::nullopt;
  }
  TicketRequest request;
  request.mIssuer = IncarnationId(JsonTextField(*object, "issuer"));
  request.mTicket = JsonTextField(*object, "ticket");
  request.mTeam = TeamName(JsonTextField(*object, "team"));
  request.mRequest = RequestId(JsonTextField(*object, "request"));
  request.mFingerprint = Fingerprint(JsonTextField(*object, "fingerprint"));
  return request;
}

std::optional<TicketAnswer> DecodeTicketAnswer(const std::string& aText)
{
  const auto object = ReadJsonObject(aText);
  if (!object || !object->isMember("result")) {
    return std::nullopt;
  }
  const auto result = JsonCountField(*object, "result");
  if (result > static_cast<std::uint64_t>(TicketResult::KeyReused)) {
    return std::nullopt;
  }
  TicketAnswer answer;
  answer.mResult = static_cast<TicketResult>(result);
  answer.mOutcome = OutcomeOf(*object);
  return answer;
}

std::optional<TicketFinish> DecodeTicketFinish(const std::string& aText)
{
  const auto object = ReadJsonObject(aText);
  const auto outcome = object ? OutcomeOf(*object) : std::nullopt;
  if (!outcome) {
    return std::nullopt;
  }
  return TicketFinish{ RequestId(JsonTextField(*object, "request")), *outcome };
}

} // namespace skylarkchute
