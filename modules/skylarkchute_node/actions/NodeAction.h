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

/** Call the object API; the outcome comes back as an ObjectReply with the same id. */
struct CallStoreAction
{
  ObjectCall mCall;
};

/** Call a peer; the outcome comes back as a PeerReply with the same id. */
struct CallPeerAction
{
  PeerCall mCall;
};

/** Answer a request of a peer. */
struct AnswerPeerAction
{
  std::uint64_t mToken = 0;           /**< As given with the request. */
  std::optional<std::string> mResult; /**< JSON object text; nothing refuses the request. */
};

/** Run an attempt; its outcome comes back through Node::OnAttemptEnd. */
struct DispatchAction
{
  DispatchStep mStep;
  std::uint32_t mPriority = 0;
  RequestKey mRequestKey;
  std::string mSessionToken; /**< For the answer's headers; empty for none. */
};

/** Cancel an attempt; its outcome still comes back. */
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

/** Let the last frame of this attempt's answer go to the caller. */
struct FinishAction
{
  RequestId mRequest;
  AttemptId mAttempt;
};

/** Answer the caller from the stored outcome of an earlier run of the same request. */
struct ReplayAction
{
  RequestId mRequest;
  int mHttpStatus = 200;
  std::string mContentType;
  std::string mBody;
};

/** Have the rating service rate the answer of an attempt. */
struct RateAction
{
  RatingWish mWish;
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
