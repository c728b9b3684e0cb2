#pragma once

#include "RegisterRequest.h"

namespace skylarkchute {

/** Peer message `register.write`: asks the preferred owner of a register to write or read it.
    @see RegisterService */
struct RegisterForward
{
  bool mReadOnly = false;
  RegisterWrite mWrite;
};

/** Reply to RegisterForward. */
struct RegisterForwardReply
{
  RegisterResult mResult = RegisterResult::Unresolved;
  std::string mValue;
};

/** Return the JSON object text of a message. */
std::string EncodeRegisterForward(const RegisterForward& aMessage);
std::string EncodeRegisterForwardReply(const RegisterForwardReply& aMessage);

/** Return the decoded message, or nothing when the text is invalid. */
std::optional<RegisterForward> DecodeRegisterForward(const std::string& aText);
std::optional<RegisterForwardReply> DecodeRegisterForwardReply(const std::string& aText);

} // namespace skylarkchute
