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

/** The models of a team, or why they are not shown. */
using ModelsReply = std::variant<std::vector<ModelListing>, ProblemReply>;

/** A ticket to be used as `Idempotency-Key`. */
struct IssuedTicket
{
  std::string mTicket;
  WallTime mExpires;
};

/** A ticket, or why none is issued. */
using TicketReply = std::variant<IssuedTicket, ProblemReply>;

/** Takes in what callers want. Every method is called on connection threads, several at once, and
    returns without waiting for the node's other work. */
class RequestSink
{
public:
  virtual ~RequestSink() = default;

  /** Takes in a request. Its session must be ended, on any thread, before its deadline. */
  virtual void Submit(std::shared_ptr<CallerSession> aSession) = 0;

  /** The caller of a submitted request has gone. */
  virtual void CallerLeft(const RequestId& aRequest) = 0;

  /** Returns what the team of this key may use. */
  virtual ModelsReply ModelsFor(const std::string& aApiKey) = 0;

  /** Issues a ticket to the team of this key. */
  virtual TicketReply IssueTicket(const std::string& aApiKey) = 0;

  /** Returns the JSON document of `/status`. */
  virtual std::string StatusJson() = 0;

  /** Returns the text of `/metrics`. */
  virtual std::string MetricsText() = 0;

  /** Returns whether the instance can serve: it has a bundle and is not leaving. */
  virtual bool IsReady() = 0;
};

} // namespace skylarkchute
