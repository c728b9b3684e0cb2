#pragma once

#include <cstdint>
#include <string>

namespace skylarkchute {

/** What the router reads in the body of a chat completion request. */
struct ChatBody
{
  std::string mFault; /**< Why the body is refused; empty when it is well formed. */
  std::string mModel;
  bool mStream = false;
  std::uint32_t mMaxTokens = 0;
  std::uint32_t mPromptTokens = 0; /**< Estimated from the length of the messages. */
  std::string mPrefixHash;
  std::string mFingerprint;
};

/** Reads and checks a body. */
ChatBody ReadChatBody(const std::string& aBody);

} // namespace skylarkchute
