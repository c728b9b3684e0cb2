#pragma once

#include <string>

namespace skylarkchute {

/** Identifies one process of the fleet and says how the others reach it. */
struct MemberRecord
{
  std::string mName;        /**< Of the machine; the same after a restart. */
  std::string mIncarnation; /**< Of the process; new after each start. */
  std::string mAddress;     /**< `IP:PORT` for messages of the other instances. */
  std::string mZone;
};

} // namespace skylarkchute
