#pragma once

#include "KeyRing.h"

namespace skylarkchute {

/** What a session token says. */
struct SessionToken
{
  TeamName mTeam;
  SessionId mSession;
  VersionId mVersion; /**< The session keeps this version for its whole life. */
  WallTime mExpires;
};

enum class TokenFault
{
  NotAToken, /**< Not of the form of a token: a session name of the caller's own. */
  BadSignature,
  OtherTeam,
  Expired,
};

/** Issues and checks session tokens; no store access is needed for either. */
class SessionTokens
{
public:
  SessionTokens() = default;
  explicit SessionTokens(KeyRing aKeys) : mKeys(std::move(aKeys)) {}

  /** Returns whether a token can be issued. */
  bool CanIssue() const { return !mKeys.IsEmpty(); }

  /** Returns the text of a token. @see CanIssue */
  std::string Issue(const SessionToken& aToken) const;

  /** Returns what a token says, or an error of type TokenFault.
      @param aTeam  the team that presents it */
  boost::leaf::result<SessionToken> Check(const std::string& aText,
                                          const TeamName& aTeam,
                                          WallTime aWallNow) const;

private:
  KeyRing mKeys;
};

} // namespace skylarkchute
