#pragma once

#include "problems/ProblemReply.h"
#include "sessions/CallerSession.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace skylarkchute {

/** One entry of `GET /v1/models`. */
struct ModelListing
{
  std::string mId;    /**< Model name, or `MODEL/NAME` of a version. */
  std::string mOwner; /**< Shown as `owned_by`. */
};

/** The models that a team may use, or the problem to answer with. */
using ModelsReply = std::variant<std::vector<ModelListing>, ProblemReply>;

/** A ticket that the caller sends as `Idempotency-Key`. */
struct IssuedTicket
{
  std::string mTicket;
  WallTime mExpires;
};

/** A ticket, or the problem to answer with. */
using TicketReply = std::variant<IssuedTicket, ProblemReply>;

/** Interface through which the entry passes caller requests to the node.

    Every method is called concurrently on connection threads and must return without waiting for
    other work of the node. */
class RequestSink
{
public:
  virtual ~RequestSink() = default;

  /** Submits a request. The implementation must end its session before the deadline of the request,
      on any thread. */
  virtual void Submit(std::shared_ptr<CallerSession> aSession) = 0;

  /** Reports that the caller of a submitted request has disconnected or that the entry has stopped
      waiting for an answer. */
  virtual void OnCallerDisconnected(const RequestId& aRequest) = 0;

  /** Returns the models that the team of this API key may use. */
  virtual ModelsReply ModelsFor(const std::string& aApiKey) = 0;

  /** Issues a ticket to the team of this API key. */
  virtual TicketReply IssueTicket(const std::string& aApiKey) = 0;

  /** Returns the JSON document of `/status`. */
  virtual std::string StatusJson() = 0;

  /** Returns the text of `/metrics`. */
  virtual std::string MetricsText() = 0;

  /** Returns whether the instance can serve requests: it has a bundle and is not shutting down. */
  virtual bool IsReady() = 0;
};

} // namespace skylarkchute
