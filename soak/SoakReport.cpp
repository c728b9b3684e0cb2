#include "SoakReport.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <ostream>

namespace skylarkchute::soak {

namespace {

constexpr std::size_t kMaxViolationsShown = 5;
constexpr std::size_t kMaxLogLines = 6;
constexpr std::size_t kMaxLineLength = 240;
constexpr std::chrono::milliseconds kStreamTarget{ 1000 };
constexpr std::chrono::milliseconds kTarget{ 500 };

struct Counts
{
  std::size_t mServed = 0;
  std::size_t mLate = 0;
  std::size_t mRefused = 0;
  std::size_t mFailed = 0;
};

void PrintLogLines(std::ostream& aOut, const std::string& aWork, const std::string& aId)
{
  std::size_t shown = 0;
  for (const auto& file : std::filesystem::directory_iterator(aWork)) {
    if (file.path().extension() != ".log") {
      continue;
    }
    std::ifstream in(file.path());
    for (std::string line; shown < kMaxLogLines && std::getline(in, line);) {
      if (line.find(aId) != std::string::npos) {
        aOut << "      " << file.path().filename().string() << ": "
             << line.substr(0, kMaxLineLength) << "\n";
        ++shown;
      }
    }
  }
}

void CountExchange(const Exchange& aExchange, Counts& aCounts)
{
  const bool isStream = aExchange.mKind == RequestKind::Stream;
  const auto answered = isStream ? aExchange.mFirstByte.value_or(aExchange.mEnd) : aExchange.mEnd;
  if (aExchange.mStatus == 200 && aExchange.mIsComplete) {
    const bool isLate = answered - aExchange.mStart > (isStream ? kStreamTarget : kTarget);
    ++(isLate ? aCounts.mLate : aCounts.mServed);
  } else if (aExchange.mStatus == 429 || aExchange.mStatus == 503) {
    ++aCounts.mRefused;
  } else {
    ++aCounts.mFailed;
  }
}

} // namespace

bool PrintResults(std::ostream& aOut,
                  const std::vector<CheckResult>& aResults,
                  const std::string& aWork)
{
  bool isKept = true;
  for (const auto& it : aResults) {
    const auto* verdict = it.IsBroken() ? "BROKEN" : it.mCases == 0 ? "not run" : "kept";
    aOut << "  " << verdict << ": " << it.mName << "; " << it.mCases << " cases, "
         << it.mViolations.size() << " against it";
    if (it.mAllowed > 0) {
      aOut << ", " << it.mAllowed << " allowed";
    }
    aOut << "\n";
    isKept = isKept && !it.IsBroken();
    const auto shown = std::min(it.mViolations.size(), kMaxViolationsShown);
    for (std::size_t n = 0; n < shown; ++n) {
      const auto& violation = it.mViolations[n];
      aOut << "    " << violation.mRequestId << " " << violation.mText << "\n";
      if (!violation.mRequestId.empty() && it.IsBroken()) {
        PrintLogLines(aOut, aWork, violation.mRequestId);
      }
    }
  }
  return isKept;
}

void WriteSeconds(std::ostream& aOut, const Evidence& aEvidence, TimePoint aBegin)
{
  std::map<std::int64_t, Counts> seconds;
  for (const auto& it : aEvidence.mExchanges) {
    if (it.mKind != RequestKind::Probe && it.mPart.empty() && !it.mIsGivenUp) {
      const auto second = std::chrono::duration_cast<std::chrono::seconds>(it.mStart - aBegin);
      CountExchange(it, seconds[second.count()]);
    }
  }
  aOut << "second,served,late,refused,failed\n";
  for (const auto& [second, counts] : seconds) {
    aOut << second << "," << counts.mServed << "," << counts.mLate << "," << counts.mRefused << ","
         << counts.mFailed << "\n";
  }
}

} // namespace skylarkchute::soak
