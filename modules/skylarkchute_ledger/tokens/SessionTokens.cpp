#include "SessionTokens.h"

#include <skylarkchute_bundles/json/JsonObject.h>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

constexpr const char* kPrefix = "sst1.";
constexpr const char* kPurpose = "session";

std::string EncodeToken(const SessionToken& aToken)
{
  Json::Value json;
  json["team"] = aToken.mTeam.Value();
  json["session"] = aToken.mSession.Value();
  json["version"] = aToken.mVersion.Value();
  json["expires"] = TimeToJson(aToken.mExpires);
  return WriteJson(json);
}

std::optional<SessionToken> DecodeToken(const std::string& aText)
{
  JsonObject json(aText);
  const SessionToken token{ TeamName(json.Text("team")),
                            SessionId(json.Text("session")),
                            VersionId(json.Text("version")),
                            json.Time("expires") };
  if (!json.IsValid()) {
    return std::nullopt;
  }
  return token;
}

} // namespace

std::string SessionTokens::Issue(const SessionToken& aToken) const
{
  return kPrefix + mKeys.Sign(kPurpose, EncodeBase64Url(EncodeToken(aToken)));
}

leaf::result<SessionToken> SessionTokens::Check(const std::string& aText,
                                                const TeamName& aTeam,
                                                WallTime aWallNow) const
{
  const std::string prefix = kPrefix;
  if (aText.rfind(prefix, 0) != 0) {
    return leaf::new_error(TokenFault::NotAToken);
  }
  const auto payload = mKeys.Verify(kPurpose, aText.substr(prefix.size()));
  const auto text = payload ? DecodeBase64Url(*payload) : std::nullopt;
  const auto token = text ? DecodeToken(*text) : std::nullopt;
  if (!token) {
    return leaf::new_error(TokenFault::BadSignature);
  }
  if (token->mTeam != aTeam) {
    return leaf::new_error(TokenFault::OtherTeam);
  }
  if (token->mExpires <= aWallNow) {
    return leaf::new_error(TokenFault::Expired);
  }
  return *token;
}

} // namespace skylarkchute
