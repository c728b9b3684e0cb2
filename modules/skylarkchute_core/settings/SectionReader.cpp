#include "SectionReader.h"

#include "ValueText.h"

#include <algorithm>

namespace skylarkchute {

SectionReader::SectionReader(const IniSection& aSection, std::vector<Fault>& aFaults)
  : mSection(aSection)
  , mFaults(aFaults)
{
}

const std::string* SectionReader::Find(const std::string& aKey, bool aRequired)
{
  mKnownKeys.insert(aKey);
  for (const auto& it : mSection.mEntries) {
    if (it.mKey == aKey) {
      return &it.mValue;
    }
  }
  if (aRequired) {
    Refuse(aKey, "is missing");
  }
  return nullptr;
}

std::string SectionReader::ReadText(const std::string& aKey, const std::string& aFallback)
{
  const auto* text = Find(aKey, false);
  return text ? *text : aFallback;
}

double SectionReader::ReadNumberIn(const std::string& aKey,
                                   double aLeast,
                                   double aMost,
                                   std::optional<double> aFallback)
{
  const auto* text = Find(aKey, !aFallback);
  if (!text) {
    return aFallback.value_or(aLeast);
  }
  const auto number = ReadNumber(*text);
  if (!number || *number < aLeast || *number > aMost) {
    Refuse(aKey,
           "must be a number from " + WriteNumber(aLeast) + " to " + WriteNumber(aMost) +
             ", not '" + *text + "'");
    return aLeast;
  }
  return *number;
}

double SectionReader::ReadPositive(const std::string& aKey, std::optional<double> aFallback)
{
  constexpr double kMost = 1e12;
  const auto* text = Find(aKey, !aFallback);
  if (!text) {
    return aFallback.value_or(1);
  }
  const auto number = ReadNumber(*text);
  if (!number || *number <= 0 || *number > kMost) {
    Refuse(aKey, "must be a number above 0 and at most 1e12, not '" + *text + "'");
    return 1;
  }
  return *number;
}

std::uint32_t SectionReader::ReadCountIn(const std::string& aKey,
                                         std::uint32_t aLeast,
                                         std::uint32_t aMost,
                                         std::optional<std::uint32_t> aFallback)
{
  const auto* text = Find(aKey, !aFallback);
  if (!text) {
    return aFallback.value_or(aLeast);
  }
  const auto count = ReadCount(*text);
  if (!count || *count < aLeast || *count > aMost) {
    Refuse(aKey,
           "must be a whole number from " + std::to_string(aLeast) + " to " +
             std::to_string(aMost) + ", not '" + *text + "'");
    return aLeast;
  }
  return static_cast<std::uint32_t>(*count);
}

bool SectionReader::ReadFlagOr(const std::string& aKey, std::optional<bool> aFallback)
{
  const auto* text = Find(aKey, !aFallback);
  if (!text) {
    return aFallback.value_or(false);
  }
  const auto flag = ReadFlag(*text);
  if (!flag) {
    Refuse(aKey, "must be true or false, not '" + *text + "'");
  }
  return flag.value_or(false);
}

std::chrono::milliseconds SectionReader::ReadDurationUpTo(
  const std::string& aKey,
  std::chrono::milliseconds aMost,
  std::optional<std::chrono::milliseconds> aFallback)
{
  constexpr std::chrono::milliseconds kLeast{ 1 };
  const auto* text = Find(aKey, !aFallback);
  if (!text) {
    return aFallback.value_or(kLeast);
  }
  const auto duration = ReadDuration(*text);
  if (!duration || *duration < kLeast || *duration > aMost) {
    Refuse(aKey,
           "must be a duration such as 250ms, 5s or 2h, at most " + WriteDuration(aMost) +
             ", not '" + *text + "'");
    return kLeast;
  }
  return *duration;
}

std::vector<std::string> SectionReader::ReadItems(const std::string& aKey, bool aRequired)
{
  const auto* text = Find(aKey, aRequired);
  if (!text) {
    return {};
  }
  auto items = ReadList(*text);
  std::set<std::string> seen;
  for (const auto& it : items) {
    if (it.empty()) {
      Refuse(aKey, "has an empty item");
    } else if (!seen.insert(it).second) {
      Refuse(aKey, "names '" + it + "' twice");
    }
  }
  return items;
}

void SectionReader::Refuse(const std::string& aKey, const std::string& aReason)
{
  mFaults.push_back({ mSection.mName, aKey, aReason });
}

void SectionReader::Finish()
{
  for (const auto& it : mSection.mEntries) {
    if (!mKnownKeys.contains(it.mKey)) {
      Refuse(it.mKey, "is not a known key");
    }
  }
}

} // namespace skylarkchute
