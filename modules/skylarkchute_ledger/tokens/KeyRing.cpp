#include "KeyRing.h"

#include <skylarkchute_bundles/json/JsonObject.h>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include <cassert>
#include <iterator>
#include <sstream>

namespace skylarkchute {

namespace {

std::string Signature(const SigningKey& aKey,
                      const std::string& aPurpose,
                      const std::string& aPayload)
{
  return HmacSha256Hex(aKey.mSecret, aPurpose + "\n" + aKey.mId + "\n" + aPayload);
}

} // namespace

std::string EncodeBase64Url(const std::string& aText)
{
  std::ostringstream out;
  Poco::Base64Encoder encoder(out, Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING);
  encoder << aText;
  encoder.close();
  std::string text;
  for (const char it : out.str()) {
    // Poco's encoder inserts line breaks.
    if (it != '\r' && it != '\n') {
      text += it;
    }
  }
  return text;
}

std::optional<std::string> DecodeBase64Url(const std::string& aText)
{
  try {
    std::istringstream in(aText);
    Poco::Base64Decoder decoder(in, Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING);
    decoder.exceptions(std::ios::badbit);
    const std::string text{ std::istreambuf_iterator<char>(decoder),
                            std::istreambuf_iterator<char>() };
    if (EncodeBase64Url(text) != aText) {
      return std::nullopt;
    }
    return text;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  } catch (const std::ios_base::failure&) {
    return std::nullopt;
  }
}

std::optional<KeyRing> KeyRing::Decode(const std::string& aText)
{
  JsonObject json(aText);
  std::vector<SigningKey> keys;
  for (const auto& it : json.Array("keys")) {
    JsonObject key(it);
    keys.push_back({ key.Text("id"), key.Text("secret") });
    if (!key.IsValid()) {
      return std::nullopt;
    }
  }
  if (!json.IsValid() || keys.empty()) {
    return std::nullopt;
  }
  return KeyRing(std::move(keys));
}

std::string KeyRing::Encode() const
{
  Json::Value json;
  json["keys"] = Json::Value(Json::arrayValue);
  for (const auto& it : mKeys) {
    Json::Value key;
    key["id"] = it.mId;
    key["secret"] = it.mSecret;
    json["keys"].append(key);
  }
  return WriteJson(json);
}

KeyRing KeyRing::Rotated(SigningKey aKey, std::size_t aMaxKeys) const
{
  assert(aMaxKeys > 0);
  std::vector<SigningKey> keys{ std::move(aKey) };
  for (const auto& it : mKeys) {
    if (keys.size() < aMaxKeys) {
      keys.push_back(it);
    }
  }
  return KeyRing(std::move(keys));
}

std::string KeyRing::Sign(const std::string& aPurpose, const std::string& aPayload) const
{
  assert(!mKeys.empty() && aPayload.find('.') == std::string::npos);
  const auto& key = mKeys.front();
  return key.mId + "." + aPayload + "." + Signature(key, aPurpose, aPayload);
}

std::optional<std::string> KeyRing::Verify(const std::string& aPurpose,
                                           const std::string& aSigned) const
{
  const auto first = aSigned.find('.');
  const auto last = aSigned.rfind('.');
  if (first == std::string::npos || first == last) {
    return std::nullopt;
  }
  const auto id = aSigned.substr(0, first);
  const auto payload = aSigned.substr(first + 1, last - first - 1);
  const auto signature = aSigned.substr(last + 1);
  for (const auto& it : mKeys) {
    if (it.mId == id && EqualInConstantTime(Signature(it, aPurpose, payload), signature)) {
      return payload;
    }
  }
  return std::nullopt;
}

} // namespace skylarkchute
