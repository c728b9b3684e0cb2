#pragma once

#include <string_view>

namespace skylarkchute {

/** Whether a request ran. Ordered from best to worst for a caller that wants to send it again. */
enum class Verdict
{
  NotRun,     /**< No endpoint ran it; the caller may send it again. */
  MayHaveRun, /**< An endpoint may have run it. */
  Ran,        /**< An endpoint ran it. */
};

/** Returns the verdict of a request whose attempts ended with these verdicts: the worse one. */
constexpr Verdict WorseVerdict(Verdict aLeft, Verdict aRight)
{
  return aLeft < aRight ? aRight : aLeft;
}

/** Returns the name used on the wire: `not-run`, `may-have-run` or `ran`. */
constexpr std::string_view VerdictName(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::NotRun:
      return "not-run";
    case Verdict::MayHaveRun:
      return "may-have-run";
    case Verdict::Ran:
      return "ran";
  }
  return "may-have-run";
}

} // namespace skylarkchute
