#pragma once

#include <string>
#include <vector>

namespace skylarkchute {

/** One error in an INI document, with its location. */
struct Fault
{
  std::string mSection; /**< Empty if the error is outside any section. */
  /** Empty if the error concerns a whole section; `line N` for a syntax error. */
  std::string mKey;
  std::string mReason;

  /** Returns `[section] key: reason`, without the parts that are empty. */
  std::string Text() const;
};

/** All errors found in one document; the error object of parsers that return `leaf::result`. */
struct Faults
{
  std::vector<Fault> mFaults;

  /** Returns the text of each error on its own line. */
  std::string Text() const;
};

} // namespace skylarkchute
