#pragma once

#include "KeyRing.h"

namespace skylarkchute {

/** The signed content of a session token. */
struct SessionToken
{
  TeamName mTeam;
  SessionId mSession;
  VersionId mVersion; /**< The session uses this version as long as it lasts. */
  WallTime mExpires;
};

enum class TokenFault
{
  NotAToken, /**< Not in token format: a session name chosen by the caller. */
  BadSignature,
  OtherTeam,
  Expired,
};

/** Issues and verifies session tokens, both without store access. */
class SessionTokens
{
public:
  SessionTokens() = default;
  explicit SessionTokens(KeyRing aKeys) : mKeys(std::move(aKeys)) {}

  /** Returns whether there is a signing key, which Issue needs. */
  bool CanIssue() const { return !mKeys.IsEmpty(); }

  /** Returns the signed text of a token. Requires CanIssue. */
  std::string Issue(const SessionToken& aToken) const;

  /** Returns the content of a token, or an error of type TokenFault.
      @param aTeam  the team that presents the token */
  boost::leaf::result<SessionToken> Check(const std::string& aText,
                                          const TeamName& aTeam,
                                          WallTime aWallNow) const;

private:
  KeyRing mKeys;
};

} // namespace skylarkchute
