#pragma once

#include <skylarkchute_ledger/skylarkchute_ledger.h>
#include <skylarkchute_peers/skylarkchute_peers.h>
#include <skylarkchute_routing/skylarkchute_routing.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkchute {

/** Call the object API and pass the ObjectReply, with the same id, to Node::OnObjectReply. */
struct CallStoreAction
{
  ObjectCall mCall;
};

/** Call a peer and pass the PeerReply, with the same id, to Node::OnPeerReply. */
struct CallPeerAction
{
  PeerCall mCall;
};

/** Answer a request of a peer. */
struct AnswerPeerAction
{
  std::uint64_t mToken = 0;           /**< Token of the request that is answered. */
  std::optional<std::string> mResult; /**< JSON object text; std::nullopt refuses the request. */
};

/** Run an attempt and report its outcome to Node::OnAttemptEnd. */
struct DispatchAction
{
  DispatchStep mStep;
  std::uint32_t mPriority = 0;
  RequestKey mRequestKey;
  std::string mSessionToken; /**< Session token for the answer's headers; empty for none. */
};

/** Cancel an attempt; its outcome must still be reported. */
struct CancelAction
{
  RequestId mRequest;
  AttemptId mAttempt;
};

/** End the caller's request with an error. */
struct RefuseAction
{
  RefuseStep mRefusal;
};

/** Send the last frame of this attempt's answer to the caller, which ends the request. */
struct FinishAction
{
  RequestId mRequest;
  AttemptId mAttempt;
};

/** Answer the caller with the stored answer of an earlier run of the same request. */
struct ReplayAction
{
  RequestId mRequest;
  int mHttpStatus = 200;
  std::string mContentType;
  std::string mBody;
};

/** Ask the rating service to rate the answer of an attempt and report to Node::OnRating. */
struct RateAction
{
  RatingCandidate mRatingCandidate;
  ClassName mClass;
  TeamName mTeam;
};

/** Log an event. */
struct LogAction
{
  LogEvent mEvent;
};

using NodeAction = std::variant<CallStoreAction,
                                CallPeerAction,
                                AnswerPeerAction,
                                DispatchAction,
                                CancelAction,
                                RefuseAction,
                                FinishAction,
                                ReplayAction,
                                RateAction,
                                LogAction>;
using NodeActions = std::vector<NodeAction>;

} // namespace skylarkchute
