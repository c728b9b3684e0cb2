#pragma once

#include "actions/NodeAction.h"
#include "requests/NodeRequest.h"
#include "state/NodeOptions.h"
#include "state/NodeTime.h"

#include <json/json.h>

#include <memory>
#include <variant>

namespace skylarkchute {

/** The decision logic of one entry instance, without I/O, threads or clocks.

    Each method processes one event at a given time and returns the actions that the owner must
    carry out. Not thread-safe: one thread owns the node and passes it one event at a time. */
class Node
{
public:
  explicit Node(NodeOptions aOptions);
  ~Node();

  /** Starts the node. Call once, before any other event. */
  NodeActions Start(NodeTime aTime);

  /** Processes a caller's request. */
  NodeActions OnRequest(NodeRequest aRequest, NodeTime aTime);

  /** Reports that the caller of a request has disconnected. */
  NodeActions OnCallerDisconnected(const RequestId& aRequest, NodeTime aTime);

  /** Reports that the first token of an attempt's answer has arrived. */
  NodeActions OnFirstToken(const RequestId& aRequest, const AttemptId& aAttempt, NodeTime aTime);

  /** Reports that an attempt has ended.
      @param aContent  the answer, which is stored for a resend of the request */
  NodeActions OnAttemptEnd(const RequestId& aRequest,
                           const AttemptId& aAttempt,
                           const AttemptOutcome& aOutcome,
                           AnswerContent aContent,
                           NodeTime aTime);

  /** Reports the outcome of a CallStoreAction; ignored if the id of the call is unknown. */
  NodeActions OnObjectReply(const ObjectReply& aReply, NodeTime aTime);

  /** Reports the outcome of a CallPeerAction; ignored if the id of the call is unknown. */
  NodeActions OnPeerReply(const PeerReply& aReply, NodeTime aTime);

  /** Processes a request of a peer. It is answered by an AnswerPeerAction with the same token,
      which this or a later event returns.
      @param aFrom    the sender, as its signature proves
      @param aParams  JSON text of a PeerEnvelope; the request is refused if it cannot be read */
  NodeActions OnPeerRequest(std::uint64_t aToken,
                            const InstanceId& aFrom,
                            const std::string& aMethod,
                            const std::string& aParams,
                            NodeTime aTime);

  /** Replaces the lists of endpoints and entry instances. */
  NodeActions OnInstances(const std::vector<EndpointRecord>& aEndpoints,
                          const std::vector<PeerRecord>& aPeers,
                          NodeTime aTime);

  /** Applies a load report of an endpoint. */
  NodeActions OnLoad(const LoadReport& aReport, NodeTime aTime);

  /** Applies the rating of an answer.
      @param aRated   the RateAction that asked for the rating
      @param aRating  0 to 1 */
  NodeActions OnRating(const RateAction& aRated, double aRating, NodeTime aTime);

  /** Processes expired time limits and periodic work. Call every 10 to 50 ms. */
  NodeActions Tick(NodeTime aTime);

  /** Starts draining: refuses new requests and notifies peers that this instance is leaving.
      Requests in flight continue. */
  NodeActions BeginLeaving(NodeTime aTime);

  /** Writes all buffered usage records to the store, including those held as a backup for peers.
      Call when no request is in flight. */
  NodeActions Flush(NodeTime aTime);

  /** Returns whether no request is in flight, every usage record is durable or dropped, and every
      outcome of a claim is durable. */
  bool IsDrained() const;

  /** Returns the number of requests in flight, with those that wait for the generation to be
      confirmed. */
  std::size_t InFlight() const;

  /** Returns whether requests can be served: a bundle is in force and the node is not draining. */
  bool IsReady() const;

  /** Returns the versions that the owner of the key may use; std::nullopt for an unknown key. */
  std::optional<std::vector<VersionId>> VersionsFor(const std::string& aApiKey) const;

  /** Returns a ticket for the owner of the key, or the refusal: unknown key, draining, or no
      signing key yet. */
  std::variant<std::string, RefuseStep> IssueTicket(const std::string& aApiKey, NodeTime aTime);

  /** Returns the status document: instance, bundle, rolls, requests in flight and the demand of
      each team. */
  Json::Value StatusJson(NodeTime aTime) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace skylarkchute
