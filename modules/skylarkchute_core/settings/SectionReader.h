#pragma once

#include "IniDocument.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkchute {

/** Reads typed values from one INI section and collects errors.

    If a key is absent, a Read function returns the fallback, or records an error if there is none.
    An invalid value is an error too. After an error the returned value is only a placeholder. Call
    Finish last: it records an error for each key that was not read. */
class SectionReader
{
public:
  /** @param aSection  must outlive the reader
      @param aFaults   receives the errors; must outlive the reader */
  SectionReader(const IniSection& aSection, std::vector<Fault>& aFaults);

  /** Returns the text of a key. */
  std::string ReadText(const std::string& aKey, const std::string& aFallback);

  /** Returns a number from @p aMin to @p aMax, both included. */
  double ReadNumberIn(const std::string& aKey,
                      double aMin,
                      double aMax,
                      std::optional<double> aFallback = std::nullopt);

  /** Returns a number above zero and at most 1e12. */
  double ReadPositive(const std::string& aKey, std::optional<double> aFallback = std::nullopt);

  /** Returns an integer from @p aMin to @p aMax, both included. */
  std::uint32_t ReadCountIn(const std::string& aKey,
                            std::uint32_t aMin,
                            std::uint32_t aMax,
                            std::optional<std::uint32_t> aFallback = std::nullopt);

  /** Returns whether a key is present with a text that has no value. @see IsWithoutValue */
  bool IsBlank(const std::string& aKey);

  /** Returns a Boolean, written as `true` or `false`. */
  bool ReadFlagOr(const std::string& aKey, std::optional<bool> aFallback);

  /** Returns a duration from 1 ms to @p aMax. */
  std::chrono::milliseconds ReadDurationUpTo(
    const std::string& aKey,
    std::chrono::milliseconds aMax,
    std::optional<std::chrono::milliseconds> aFallback = std::nullopt);

  /** Returns the items of a comma-separated list; an empty or repeated item is an error. */
  std::vector<std::string> ReadItems(const std::string& aKey, bool aRequired);

  /** Records an error for a key of this section. */
  void AddFault(const std::string& aKey, const std::string& aReason);

  /** Records an error for each key that was not read: it is unknown. */
  void Finish();

private:
  const std::string* Find(const std::string& aKey, bool aRequired);

  const IniSection& mSection;
  std::vector<Fault>& mFaults;
  std::set<std::string> mKnownKeys;
};

} // namespace skylarkchute
