#include "OracleCost.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace skylarkchute {

namespace {

constexpr double kTokensPerPrice = 1000;

/** The requests of one team in one class. */
struct TeamRequests
{
  double mCount = 0;
  double mCheapGood = 0;
  std::vector<double> mLiftableTokens; /**< Bad from the cheap model, good from the dear one. */
};

} // namespace

void CostTotals::Add(const CostTotals& aOther)
{
  mAnswered += aOther.mAnswered;
  mActual += aOther.mActual;
  mDear += aOther.mDear;
  mOracle += aOther.mOracle;
}

double CostTotals::SavingsShare() const
{
  return mDear > mOracle ? (mDear - mActual) / (mDear - mOracle) : 1;
}

CostTotals CostsOfClass(const Workload& aWorkload, const RunRecord& aRun, const ClassName& aClass)
{
  const auto& bundle = *aWorkload.mBundle;
  const double cheap = bundle.FindModel(ModelName(kCheapModel))->mPricePerThousandTokens;
  const double dear = bundle.FindModel(ModelName(kDearModel))->mPricePerThousandTokens;
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
    totals.mDear += dear * tokens / kTokensPerPrice;
    totals.mOracle += cheap * tokens / kTokensPerPrice;
    auto& team = teams[it.mTeam];
    team.mCount += 1;
    team.mCheapGood += it.mCheapWouldBeGood ? 1 : 0;
    if (!it.mCheapWouldBeGood && it.mDearWouldBeGood) {
      team.mLiftableTokens.push_back(tokens);
    }
  }
  for (auto& [name, team] : teams) {
    std::sort(team.mLiftableTokens.begin(), team.mLiftableTokens.end());
    const double missing = std::ceil(target * team.mCount - team.mCheapGood);
    const auto lifted = static_cast<std::size_t>(std::max(0.0, missing));
    for (std::size_t n = 0; n < std::min(lifted, team.mLiftableTokens.size()); ++n) {
      totals.mOracle += (dear - cheap) * team.mLiftableTokens[n] / kTokensPerPrice;
    }
  }
  return totals;
}

} // namespace skylarkchute
