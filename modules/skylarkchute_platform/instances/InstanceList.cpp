#include "InstanceList.h"

#include <json/json.h>

#include <memory>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

constexpr Json::UInt kMaxPort = 65'535;

leaf::result<InstanceKind> ParseKind(const std::string& aId, const std::string& aText)
{
  if (aText == "entry") {
    return InstanceKind::Entry;
  }
  if (aText == "engine") {
    return InstanceKind::Engine;
  }
  if (aText == "service") {
    return InstanceKind::Service;
  }
  if (aText == "rating") {
    return InstanceKind::Rating;
  }
  return leaf::new_error(Faults{ { { aId, "kind", "unknown kind '" + aText + "'" } } });
}

leaf::result<std::uint16_t> ParsePort(const std::string& aId,
                                      const Json::Value& aEntry,
                                      const char* aKey)
{
  const auto& value = aEntry[aKey];
  if (value.isNull()) {
    return std::uint16_t(0);
  }
  if (!value.isUInt() || value.asUInt() > kMaxPort) {
    return leaf::new_error(Faults{ { { aId, aKey, "is not a port number" } } });
  }
  return static_cast<std::uint16_t>(value.asUInt());
}

leaf::result<InstanceRecord> ParseEntry(const Json::Value& aEntry)
{
  if (!aEntry.isObject() || !aEntry["id"].isString() || !aEntry["address"].isString()) {
    return leaf::new_error(
      Faults{ { { "instance list", "", "an entry has no id or no address" } } });
  }
  InstanceRecord record;
  record.mId = aEntry["id"].asString();
  record.mAddress = aEntry["address"].asString();
  BOOST_LEAF_ASSIGN(record.mPort, ParsePort(record.mId, aEntry, "port"));
  BOOST_LEAF_ASSIGN(record.mPeerPort, ParsePort(record.mId, aEntry, "peer_port"));
  BOOST_LEAF_ASSIGN(record.mKind, ParseKind(record.mId, aEntry["kind"].asString()));
  record.mZone = ZoneName(aEntry["zone"].asString());
  record.mService = ServiceName(aEntry["service"].asString());
  record.mLeaving = aEntry["state"].asString() == "leaving";
  return record;
}

} // namespace

leaf::result<InstanceList> ParseInstanceList(const std::string& aText)
{
  Json::Value page;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(aText.data(), aText.data() + aText.size(), &page, nullptr) ||
      !page.isObject() || !page["instances"].isArray()) {
    return leaf::new_error(
      Faults{ { { "instance list", "", "is not a JSON object with an array 'instances'" } } });
  }
  InstanceList list;
  list.mPosition = page["position"].asUInt64();
  for (const auto& it : page["instances"]) {
    BOOST_LEAF_AUTO(record, ParseEntry(it));
    list.mInstances.push_back(std::move(record));
  }
  return list;
}

} // namespace skylarkchute
