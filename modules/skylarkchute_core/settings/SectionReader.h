#pragma once

#include "IniDocument.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkchute {

/** Reads the typed values of one INI section and gathers the faults found on the way.

    Each Read function returns the fallback when the key is absent, or records a fault when there
    is no fallback. Call Finish last: it records every key that was never read. */
class SectionReader
{
public:
  /** @param aSection  must outlive the reader
      @param aFaults   receives the faults; must outlive the reader */
  SectionReader(const IniSection& aSection, std::vector<Fault>& aFaults);

  /** Returns the text of a key. */
  std::string ReadText(const std::string& aKey, const std::string& aFallback);

  /** Returns a number between the bounds, both allowed. */
  double ReadNumberIn(const std::string& aKey,
                      double aLeast,
                      double aMost,
                      std::optional<double> aFallback = std::nullopt);

  /** Returns a number above zero. */
  double ReadPositive(const std::string& aKey, std::optional<double> aFallback = std::nullopt);

  /** Returns an integer between the bounds, both allowed. */
  std::uint32_t ReadCountIn(const std::string& aKey,
                            std::uint32_t aLeast,
                            std::uint32_t aMost,
                            std::optional<std::uint32_t> aFallback = std::nullopt);

  /** Returns `true` or `false`. */
  bool ReadFlagOr(const std::string& aKey, std::optional<bool> aFallback);

  /** Returns a duration above zero and at most @p aMost. */
  std::chrono::milliseconds ReadDurationUpTo(
    const std::string& aKey,
    std::chrono::milliseconds aMost,
    std::optional<std::chrono::milliseconds> aFallback = std::nullopt);

  /** Returns the items of a comma-separated list; an empty or repeated item is a fault. */
  std::vector<std::string> ReadItems(const std::string& aKey, bool aRequired);

  /** Records a fault at a key of this section. */
  void Refuse(const std::string& aKey, const std::string& aReason);

  /** Records every key that was never read as unknown. */
  void Finish();

private:
  const std::string* Find(const std::string& aKey, bool aRequired);

  const IniSection& mSection;
  std::vector<Fault>& mFaults;
  std::set<std::string> mKnownKeys;
};

} // namespace skylarkchute
