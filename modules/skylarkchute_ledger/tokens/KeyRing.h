#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Key of the platform object that stores the key ring of session tokens and tickets. */
inline constexpr const char* kSessionKeyObject = "keys/session";

/** One signing key. */
struct SigningKey
{
  std::string mId; /**< Must not contain a dot. */
  std::string mSecret;
};

/** Signing keys, newest first. The newest key signs; all keys verify. */
class KeyRing
{
public:
  KeyRing() = default;

  /** @param aKeys  newest first; key ids are unique */
  explicit KeyRing(std::vector<SigningKey> aKeys) : mKeys(std::move(aKeys)) {}

  /** Returns the key ring in JSON text, or nothing if the text is invalid or has no keys. */
  static std::optional<KeyRing> Decode(const std::string& aText);

  /** Returns the key ring as the text of a JSON object. */
  std::string Encode() const;

  /** Returns a key ring that signs with @p aKey and still verifies with the newest previous keys.
      @param aMaxKeys  maximum number of keys in the new ring, at least 1 */
  KeyRing Rotated(SigningKey aKey, std::size_t aMaxKeys) const;

  /** Returns whether there is no key. */
  bool IsEmpty() const { return mKeys.empty(); }

  /** Returns `KEY-ID.PAYLOAD.SIGNATURE`. The key ring must not be empty.
      @param aPurpose  covered by the signature, so that Verify needs the same one
      @param aPayload  must not contain a dot */
  std::string Sign(const std::string& aPurpose, const std::string& aPayload) const;

  /** Returns the payload of a signed text, or nothing if the signature is not valid.
      @param aPurpose  as given to Sign; a text signed for another purpose is rejected */
  std::optional<std::string> Verify(const std::string& aPurpose, const std::string& aSigned) const;

  /** Returns all keys, newest first. */
  const std::vector<SigningKey>& Keys() const { return mKeys; }

private:
  std::vector<SigningKey> mKeys;
};

/** Returns @p aText in URL-safe base64 without padding. */
std::string EncodeBase64Url(const std::string& aText);

/** Returns the decoded text, or nothing if @p aText is not URL-safe base64 without padding. */
std::optional<std::string> DecodeBase64Url(const std::string& aText);

} // namespace skylarkchute
