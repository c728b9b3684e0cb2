#pragma once

#include "actions/NodeAction.h"
#include "requests/NodeRequest.h"
#include "state/NodeOptions.h"
#include "state/NodeTime.h"

#include <json/json.h>

#include <memory>
#include <variant>

namespace skylarkchute {

/** One entry instance: every decision, free of I/O, threads and clocks.

    Each method takes one event with its time and returns the actions that follow. One thread owns
    the node; events are handed to it one at a time. */
class Node
{
public:
  explicit Node(NodeOptions aOptions);
  ~Node();

  /** Begins. Call once, before the other events. */
  NodeActions Start(NodeTime aTime);

  /** A request of a caller. */
  NodeActions OnRequest(NodeRequest aRequest, NodeTime aTime);

  /** The caller of a request has gone. */
  NodeActions OnCallerLeft(const RequestId& aRequest, NodeTime aTime);

  /** The first token of an attempt has arrived. */
  NodeActions OnFirstToken(const RequestId& aRequest, const AttemptId& aAttempt, NodeTime aTime);

  /** An attempt has ended. */
  NodeActions OnAttemptEnd(const RequestId& aRequest,
                           const AttemptId& aAttempt,
                           const AttemptOutcome& aOutcome,
                           AnswerContent aContent,
                           NodeTime aTime);

  /** The outcome of a CallStoreAction. */
  NodeActions OnObjectReply(const ObjectReply& aReply, NodeTime aTime);

  /** The outcome of a CallPeerAction. */
  NodeActions OnPeerReply(const PeerReply& aReply, NodeTime aTime);

  /** A request of a peer; answered by an AnswerPeerAction with the same token, now or later. */
  NodeActions OnPeerRequest(std::uint64_t aToken,
                            const InstanceId& aFrom,
                            const std::string& aMethod,
                            const std::string& aParams,
                            NodeTime aTime);

  /** Another instance list. */
  NodeActions OnInstances(const std::vector<EndpointRecord>& aEndpoints,
                          const std::vector<PeerRecord>& aPeers,
                          NodeTime aTime);

  /** A load report of an endpoint. */
  NodeActions OnLoad(const LoadReport& aReport, NodeTime aTime);

  /** A rating of an answer, 0 to 1. */
  NodeActions OnRating(const RateAction& aRated, double aRating, NodeTime aTime);

  /** Drives every time limit. Call every 10 to 50 ms. */
  NodeActions Tick(NodeTime aTime);

  /** Takes no more requests and says goodbye to peers; requests under way go on. */
  NodeActions BeginLeaving(NodeTime aTime);

  /** Writes every usage record out. Call when no request is under way. */
  NodeActions Flush(NodeTime aTime);

  /** Returns whether no request is under way, every usage record is durable or dropped, and every
      outcome of a claim is durable. */
  bool IsDrained() const;

  /** Returns how many requests are under way. */
  std::size_t InFlight() const;

  /** Returns whether requests can be served: a bundle is in force and the node is not leaving. */
  bool IsReady() const;

  /** Returns the versions that the owner of the key may use; nothing for an unknown key. */
  std::optional<std::vector<VersionId>> VersionsFor(const std::string& aApiKey) const;

  /** Returns a ticket for the owner of the key, or why none is issued. */
  std::variant<std::string, RefuseStep> IssueTicket(const std::string& aApiKey, NodeTime aTime);

  /** Returns what is known of the bundle, requests and teams. */
  Json::Value StatusJson(NodeTime aTime) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace skylarkchute
