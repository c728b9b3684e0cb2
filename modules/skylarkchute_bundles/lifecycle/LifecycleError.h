#pragma once

#include <string>

namespace skylarkchute {

enum class LifecycleErrorKind
{
  NotFound,    /**< The object that the command names does not exist. */
  Refused,     /**< A check failed; nothing was changed. */
  Conflict,    /**< Another bundle was accepted first; nothing was changed. */
  Unavailable, /**< The platform did not answer; nothing was changed. */
  Unknown,     /**< The outcome of a write is unknown; the command is safe to repeat. */
};

/** The error object of a failed lifecycle operation; its message is shown to the operator. */
struct LifecycleError
{
  LifecycleErrorKind mKind = LifecycleErrorKind::Refused;
  std::string mMessage;
};

} // namespace skylarkchute
