#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <string>
#include <vector>

namespace skylarkchute {

/** One instance, as listed by the platform. */
struct PeerRecord
{
  InstanceId mId;
  std::string mAddress; /**< IP address. */
  std::uint16_t mPeerPort = 0;
  ZoneName mZone;
  bool mLeaving = false; /**< The instance is shutting down. */
};

/** One JSON-RPC request to a peer. The Encode functions of the typed messages produce its params.
 */
struct PeerCall
{
  std::uint64_t mId = 0; /**< Chosen by the caller and returned in the reply. */
  InstanceId mTo;
  std::string mMethod;
  std::string mParams; /**< JSON object text. */
  std::chrono::milliseconds mTimeout{ 1000 };
};

/** The outcome of one PeerCall. */
struct PeerReply
{
  std::uint64_t mId = 0;
  InstanceId mFrom;
  Verdict mVerdict = Verdict::MayHaveRun; /**< NotRun when the request was certainly not sent. */
  bool mOk = false;
  std::string mResult; /**< JSON object text when mOk. */
};

} // namespace skylarkchute
