#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute {

enum class InstanceKind
{
  Entry,
  Engine,
  Service,
  Rating, /**< The rating service. */
};

/** One entry of the platform's instance list: an entry instance or an endpoint. */
struct InstanceRecord
{
  std::string mId;
  std::string mAddress; /**< IP address. */
  std::uint16_t mPort = 0;
  std::uint16_t mPeerPort = 0; /**< Zero if not given; used by entry instances. */
  ZoneName mZone;
  InstanceKind mKind = InstanceKind::Engine;
  ServiceName mService;  /**< Set for plain services. */
  bool mLeaving = false; /**< The platform reports the state `leaving`. */
};

/** Snapshot of the instance list at one position of its change sequence. */
struct InstanceList
{
  std::uint64_t mPosition = 0;
  std::vector<InstanceRecord> mInstances;
};

/** Parses the platform's JSON. Malformed text or entries are errors of type Faults. */
boost::leaf::result<InstanceList> ParseInstanceList(const std::string& aText);

} // namespace skylarkchute
