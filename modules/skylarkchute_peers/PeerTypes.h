#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <string>
#include <vector>

namespace skylarkchute {

/** One entry instance as the platform's instance list gives it. */
struct PeerRecord
{
  InstanceId mId;
  std::string mAddress; /**< IP number. */
  std::uint16_t mPeerPort = 0;
  ZoneName mZone;
  bool mLeaving = false;
};

/** One JSON-RPC request to a peer. Method and params are made by the codecs of the typed messages.
 */
struct PeerCall
{
  std::uint64_t mId = 0; /**< Chosen by the caller; the reply carries it. */
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
  Verdict mVerdict = Verdict::MayHaveRun; /**< NotRun when the peer was certainly not reached. */
  bool mOk = false;
  std::string mResult; /**< JSON object text when mOk. */
};

} // namespace skylarkchute
