#include "OracleCost.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace skylarkchute {

namespace {

constexpr double kTokensPerPriceUnit = 1000;

/** The answered requests of one team in one class. */
struct TeamRequests
{
  double mCount = 0;
  double mCheapGood = 0;
  /** Token counts of the requests that the cheap model answers badly and the expensive one well. */
  std::vector<double> mUpgradableTokens;
};

} // namespace

void CostTotals::Add(const CostTotals& aOther)
{
  mAnswered += aOther.mAnswered;
  mActual += aOther.mActual;
  mAlwaysExpensive += aOther.mAlwaysExpensive;
  mOracle += aOther.mOracle;
}

double CostTotals::SavingsShare() const
{
  return mAlwaysExpensive > mOracle ? (mAlwaysExpensive - mActual) / (mAlwaysExpensive - mOracle)
                                    : 1;
}

CostTotals CostsOfClass(const Workload& aWorkload, const RunRecord& aRun, const ClassName& aClass)
{
  const auto& bundle = *aWorkload.mBundle;
  const double cheap = bundle.FindModel(ModelName(kCheapModel))->mPricePerThousandTokens;
  const double expensive = bundle.FindModel(ModelName(kExpensiveModel))->mPricePerThousandTokens;
  const double target = bundle.FindClass(aClass)->mQualityTarget;
  CostTotals totals;
  std::map<TeamName, TeamRequests> teams;
  for (const auto& it : aRun.mRequests) {
    if (it.mClass != aClass || !it.mAnswered || !it.mServedVersion) {
      continue;
    }
    const double tokens = it.mTokens;
    totals.mAnswered += 1;
    totals.mActual += it.mCost;
    totals.mAlwaysExpensive += expensive * tokens / kTokensPerPriceUnit;
    totals.mOracle += cheap * tokens / kTokensPerPriceUnit;
    auto& team = teams[it.mTeam];
    team.mCount += 1;
    team.mCheapGood += it.mCheapWouldBeGood ? 1 : 0;
    if (!it.mCheapWouldBeGood && it.mExpensiveWouldBeGood) {
      team.mUpgradableTokens.push_back(tokens);
    }
  }
  for (auto& [name, team] : teams) {
    std::sort(team.mUpgradableTokens.begin(), team.mUpgradableTokens.end());
    const double missingGood = std::ceil(target * team.mCount - team.mCheapGood);
    const auto upgraded = static_cast<std::size_t>(std::max(0.0, missingGood));
    for (std::size_t n = 0; n < std::min(upgraded, team.mUpgradableTokens.size()); ++n) {
      totals.mOracle += (expensive - cheap) * team.mUpgradableTokens[n] / kTokensPerPriceUnit;
    }
  }
  return totals;
}

} // namespace skylarkchute
