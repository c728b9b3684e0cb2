#pragma once

#include <cstdint>
#include <string>

namespace skylarkchute {

/** The fields of a chat completion request body that the router uses. */
struct ChatBody
{
  std::string mError; /**< Reason to refuse the body; empty when it is valid. */
  std::string mModel;
  bool mStream = false;
  std::uint32_t mMaxTokens = 0;    /**< Zero when the body sets no limit. */
  std::uint32_t mPromptTokens = 0; /**< Estimated from the length of the messages. */
  std::string mPrefixHash;         /**< Hash of the first 1024 bytes of the messages. */
  std::string mFingerprint;        /**< Hash of the fields that affect the result. */
};

/** Parses and validates a body. Errors are returned in `mError`. */
ChatBody ReadChatBody(const std::string& aBody);

} // namespace skylarkchute
