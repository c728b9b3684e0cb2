#pragma once

#include <string>
#include <vector>

namespace skylarkchute {

/** One fault in an INI document, with its place. */
struct Fault
{
  std::string mSection; /**< Empty when the fault is not in a section. */
  std::string mKey;     /**< Empty when the fault concerns a whole section. */
  std::string mReason;

  /** Returns `[section] key: reason`. */
  std::string Text() const;
};

/** Every fault found in one document; the error object of `leaf::result` parsers. */
struct Faults
{
  std::vector<Fault> mFaults;

  /** Returns one fault a line. */
  std::string Text() const;
};

} // namespace skylarkchute
