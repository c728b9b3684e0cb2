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
    AddFault(aKey, "is missing");
  }
  return nullptr;
}

std::string SectionReader::ReadText(const std::string& aKey, const std::string& aFallback)
{
  const auto* text = Find(aKey, false);
  return text ? *text : aFallback;
}

double SectionReader::ReadNumberIn(const std::string& aKey,
                                   double aMin,
                                   double aMax,
                                   std::optional<double> aFallback)
{
  const auto* text = Find(aKey, !aFallback);
  if (!text) {
    return aFallback.value_or(aMin);
  }
  const auto number = ReadNumber(*text);
  if (!number || *number < aMin || *number > aMax) {
    AddFault(aKey,
             "must be a number from " + WriteNumber(aMin) + " to " + WriteNumber(aMax) + ", not '" +
               *text + "'");
    return aMin;
  }
  return *number;
}

double SectionReader::ReadPositive(const std::string& aKey, std::optional<double> aFallback)
{
  constexpr double kMax = 1e12;
  const auto* text = Find(aKey, !aFallback);
  if (!text) {
    return aFallback.value_or(1);
  }
  const auto number = ReadNumber(*text);
  if (!number || *number <= 0 || *number > kMax) {
    AddFault(aKey, "must be a number above 0 and at most 1e12, not '" + *text + "'");
    return 1;
  }
  return *number;
}

std::uint32_t SectionReader::ReadCountIn(const std::string& aKey,
                                         std::uint32_t aMin,
                                         std::uint32_t aMax,
                                         std::optional<std::uint32_t> aFallback)
{
  const auto* text = Find(aKey, !aFallback);
  if (!text) {
    return aFallback.value_or(aMin);
  }
  const auto count = ReadCount(*text);
  if (!count || *count < aMin || *count > aMax) {
    AddFault(aKey,
             "must be a whole number from " + std::to_string(aMin) + " to " + std::to_string(aMax) +
               ", not '" + *text + "'");
    return aMin;
  }
  return static_cast<std::uint32_t>(*count);
}

bool SectionReader::IsBlank(const std::string& aKey)
{
  const auto* text = Find(aKey, false);
  return text != nullptr && IsWithoutValue(*text);
}

bool SectionReader::ReadFlagOr(const std::string& aKey, std::optional<bool> aFallback)
{
  const auto* text = Find(aKey, !aFallback);
  if (!text) {
    return aFallback.value_or(false);
  }
  const auto flag = ReadFlag(*text);
  if (!flag) {
    AddFault(aKey, "must be true or false, not '" + *text + "'");
  }
  return flag.value_or(false);
}

std::chrono::milliseconds SectionReader::ReadDurationUpTo(
  const std::string& aKey,
  std::chrono::milliseconds aMax,
  std::optional<std::chrono::milliseconds> aFallback)
{
  constexpr std::chrono::milliseconds kMin{ 1 };
  const auto* text = Find(aKey, !aFallback);
  if (!text) {
    return aFallback.value_or(kMin);
  }
  const auto duration = ReadDuration(*text);
  if (!duration || *duration < kMin || *duration > aMax) {
    AddFault(aKey,
             "must be a duration such as 250ms, 7.5s or 2h, at most " + WriteDuration(aMax) +
               ", not '" + *text + "'");
    return kMin;
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
      AddFault(aKey, "has an empty item");
    } else if (!seen.insert(it).second) {
      AddFault(aKey, "names '" + it + "' twice");
    }
  }
  return items;
}

void SectionReader::AddFault(const std::string& aKey, const std::string& aReason)
{
  mFaults.push_back({ mSection.mName, aKey, aReason });
}

void SectionReader::Finish()
{
  for (const auto& it : mSection.mEntries) {
    if (!mKnownKeys.contains(it.mKey)) {
      AddFault(it.mKey, "is not a known key");
    }
  }
}

} // namespace skylarkchute
