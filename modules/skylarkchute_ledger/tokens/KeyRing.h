#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Object of the platform that holds the key ring of session tokens and tickets. */
inline constexpr const char* kSessionKeyObject = "keys/session";

/** One signing key. */
struct SigningKey
{
  std::string mId; /**< Without dots. */
  std::string mSecret;
};

/** Signing keys, the newest first: the first one signs, every one verifies. */
class KeyRing
{
public:
  KeyRing() = default;

  /** @param aKeys  newest first; key ids are unique */
  explicit KeyRing(std::vector<SigningKey> aKeys) : mKeys(std::move(aKeys)) {}

  /** Returns the key ring in the JSON text, or nothing when it cannot be read or is empty. */
  static std::optional<KeyRing> Decode(const std::string& aText);

  /** Returns JSON object text. */
  std::string Encode() const;

  /** Returns a ring that signs with @p aKey and still verifies with the newest old keys.
      @param aMostKeys  keys in the new ring at most */
  KeyRing Rotated(SigningKey aKey, std::size_t aMostKeys) const;

  /** Returns whether there is no key. */
  bool IsEmpty() const { return mKeys.empty(); }

  /** Returns `KEY-ID.PAYLOAD.SIGNATURE`. The ring must not be empty.
      @param aPayload  without dots */
  std::string Sign(const std::string& aPurpose, const std::string& aPayload) const;

  /** Returns the payload of a signed text, or nothing when its signature does not hold.
      @param aPurpose  as given to Sign; a text signed for another purpose is refused */
  std::optional<std::string> Verify(const std::string& aPurpose, const std::string& aSigned) const;

  /** Returns every key, newest first. */
  const std::vector<SigningKey>& Keys() const { return mKeys; }

private:
  std::vector<SigningKey> mKeys;
};

/** Returns @p aText in URL-safe base64 without padding. */
std::string EncodeBase64Url(const std::string& aText);

/** Returns the text, or nothing when @p aText is not URL-safe base64. */
std::optional<std::string> DecodeBase64Url(const std::string& aText);

} // namespace skylarkchute
