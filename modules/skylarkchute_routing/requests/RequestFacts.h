#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <optional>
#include <string>

namespace skylarkchute {

/** What the decisions know of one caller request. Bodies stay with the session. */
struct RequestFacts
{
  RequestId mId;
  std::string mApiKey;                 /**< As sent; never logged. */
  std::optional<ServiceName> mService; /**< Set for plain services, else a model request. */
  std::optional<ModelName> mModel;     /**< As asked for; empty or `auto` lets the class decide. */
  std::optional<VersionId> mVersion;   /**< As asked for with `MODEL/NAME`. */
  ClassName mClass;
  RequestKey mKey; /**< The caller's Idempotency-Key, or the request id. */
  bool mHasCallerKey = false;
  bool mDeclaredNonIdempotent = false;
  bool mStream = false;
  std::optional<VersionId> mPinnedVersion; /**< From a session token or register. */
  /** First request of a session: it stays on the version of its first dispatch step. */
  bool mStartsSession = false;
  std::string mPrefixHash; /**< Of the prompt's start, for prefix-cache affinity. */
  Fingerprint mFingerprint;
  std::uint32_t mPromptTokens = 0; /**< Estimated from the body's length. */
  std::uint32_t mMaxTokens = 0;
  TimePoint mDeadline;
};

} // namespace skylarkchute
