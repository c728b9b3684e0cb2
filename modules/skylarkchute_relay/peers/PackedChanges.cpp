#include "PackedChanges.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <sstream>

namespace skylarkchute {

namespace {

/** Shorter texts are not worth the processor time of compressing them. */
constexpr std::size_t kMinDeflatedBytes = 4096;

/** zlib's fastest level. */
constexpr int kDeflateLevel = 1;

constexpr int kNoLineBreaks = 0;
constexpr std::size_t kReadBytes = 16 * 1024;

std::string Deflate(const std::string& aText)
{
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(kNoLineBreaks);
  Poco::DeflatingOutputStream deflater(
    encoder, Poco::DeflatingStreamBuf::STREAM_ZLIB, kDeflateLevel);
  deflater << aText;
  deflater.close();
  encoder.close();
  return out.str();
}

std::optional<std::string> Inflate(const std::string& aText)
{
  std::istringstream in(aText);
  Poco::Base64Decoder decoder(in);
  Poco::InflatingInputStream inflater(decoder, Poco::InflatingStreamBuf::STREAM_ZLIB);
  std::string text;
  std::vector<char> buf(kReadBytes);
  try {
    while (inflater.read(buf.data(), static_cast<std::streamsize>(buf.size())) ||
           inflater.gcount() > 0) {
      text.append(buf.data(), static_cast<std::size_t>(inflater.gcount()));
      if (text.size() > kMaxUnpackedBytes) {
        return std::nullopt;
      }
    }
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
  return text;
}

PackedChanges Pack(const std::vector<StoreObject>& aObjects)
{
  Json::Value list(Json::arrayValue);
  for (const auto& it : aObjects) {
    if (!it.mIsDeleted) {
      list.append(it.mText);
      continue;
    }
    Json::Value removed(Json::arrayValue);
    removed.append(it.mName);
    removed.append(Json::UInt64(it.mRevision));
    removed.append(it.mMayHaveLapsed);
    list.append(removed);
  }
  PackedChanges packed;
  packed.mText = WriteJson(list);
  if (packed.mText.size() >= kMinDeflatedBytes) {
    packed.mText = Deflate(packed.mText);
    packed.mIsDeflated = true;
  }
  return packed;
}

} // namespace

PackedChanges PackChanges(const KindChanges& aChanges)
{
  auto packed = Pack(aChanges.mObjects);
  packed.mSince = aChanges.mSince;
  packed.mAsOf = aChanges.mAsOf;
  return packed;
}

PackedChanges PackSnapshot(const KindSnapshot& aSnapshot)
{
  auto packed = Pack(aSnapshot.mObjects);
  packed.mAsOf = aSnapshot.mAsOf;
  packed.mIsSnapshot = true;
  return packed;
}

std::optional<std::vector<StoreObject>> UnpackObjects(const PackedChanges& aPacked)
{
  const auto text = aPacked.mIsDeflated ? Inflate(aPacked.mText) : aPacked.mText;
  const auto document = text ? ReadJsonObject(R"({"list":)" + *text + "}") : std::nullopt;
  if (!document || !(*document)["list"].isArray()) {
    return std::nullopt;
  }
  std::vector<StoreObject> objects;
  for (const auto& it : (*document)["list"]) {
    if (it.isArray() && it.size() == 3 && it[0].isString() && it[1].isUInt64() && it[2].isBool()) {
      objects.push_back({ it[0].asString(), it[1].asUInt64(), true, {}, it[2].asBool() });
    } else if (auto object = it.isString() ? DecodeObject(it.asString()) : std::nullopt) {
      object->mRevision = MakeStoreVersion(EraOf(aPacked.mAsOf), RevisionOf(object->mRevision));
      objects.push_back(std::move(*object));
    }
  }
  return objects;
}

} // namespace skylarkchute
