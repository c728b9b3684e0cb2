#pragma once

#include <string>

namespace skylarkchute {

enum class LifecycleErrorKind
{
  NotFound,    /**< What the command names does not exist. */
  Refused,     /**< A rule forbids it; nothing was changed. */
  Lost,        /**< Another bundle was accepted first; nothing was changed. */
  Unavailable, /**< The platform did not answer; nothing was changed. */
  Unknown,     /**< The platform may have carried it out; the same command may be given again. */
};

/** Why a lifecycle operation failed, for the operator. The error object of `leaf::result`. */
struct LifecycleError
{
  LifecycleErrorKind mKind = LifecycleErrorKind::Refused;
  std::string mMessage;
};

} // namespace skylarkchute
