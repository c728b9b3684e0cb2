#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <optional>
#include <string>

namespace skylarkchute {

/** The properties of a caller request that routing decisions use. The session keeps the body. */
struct RequestFacts
{
  RequestId mId;
  std::string mApiKey;                 /**< As received; must not be logged. */
  std::optional<ServiceName> mService; /**< Set for plain services; empty for model requests. */
  std::optional<ModelName> mModel;     /**< As requested; empty or `auto`: the class decides. */
  std::optional<VersionId> mVersion;   /**< As requested with `MODEL/NAME`. */
  ClassName mClass;
  RequestKey mKey; /**< The caller's Idempotency-Key, or the request id. */
  bool mHasCallerKey = false;
  bool mDeclaredNonIdempotent = false;
  bool mStream = false;
  std::optional<VersionId> mPinnedVersion; /**< From a session token or session register. */
  /** Whether this is the first request of a session. It stays on the version of its first dispatch
      step. */
  bool mStartsSession = false;
  std::string mPrefixHash; /**< Hash of the prompt's prefix, for prefix-cache affinity. */
  Fingerprint mFingerprint;
  std::uint32_t mPromptTokens = 0; /**< Estimated from the length of the body. */
  std::uint32_t mMaxTokens = 0;
  TimePoint mDeadline;
};

} // namespace skylarkchute
