#include "Figures.h"

#include "OracleCost.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace skylarkchute {

namespace {

double Seconds(std::chrono::microseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/** Returns a quantile of unsorted values, or zero if there are none. */
double Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size() - 1));
  const auto it = aValues.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(aValues.begin(), it, aValues.end());
  return *it;
}

double Share(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0;
}

/** Computes the figures of one run, group by group. */
class FigureBuilder
{
public:
  FigureBuilder(const Workload& aWorkload, const RunRecord& aRun) : mWorkload(aWorkload), mRun(aRun)
  {
  }

  std::vector<Figure> Build()
  {
    AddCounts();
    AddCost();
    AddQuality();
    AddLatencies();
    AddRefusals();
    AddExposure();
    return std::move(mFigures);
  }

private:
  void Add(const std::string& aName, const std::string& aSlice, double aValue)
  {
    mFigures.push_back({ aName, aSlice, aValue });
  }

  void AddCounts()
  {
    double attempts = 0;
    double hedges = 0;
    double answered = 0;
    double dispatched = 0;
    for (const auto& it : mRun.mRequests) {
      attempts += it.mAttempts;
      hedges += it.mHedges;
      answered += it.mAnswered ? 1 : 0;
      dispatched += it.mAttempts > 0 ? 1 : 0;
    }
    const auto requests = static_cast<double>(mRun.mRequests.size());
    Add("requests", "all", requests);
    Add("answered-share", "all", Share(answered, requests));
    Add("attempts-per-request", "all", Share(attempts, dispatched));
    Add("hedge-share", "all", Share(hedges, requests));
    Add("broken-promises", "all", static_cast<double>(mRun.mBrokenPromises.size()));
    Add("endpoint-crashes", "all", static_cast<double>(mRun.mEndpointCrashes));
    const double slotTime = static_cast<double>(mRun.mSlots) * Seconds(mRun.mLength);
    Add("useful-slot-share", "all", Share(Seconds(mRun.mUsefulSlotTime), slotTime));
  }

  void AddCost()
  {
    CostTotals total;
    for (const auto& it : mWorkload.mClasses) {
      if (it.mService) {
        continue;
      }
      const auto costs = CostsOfClass(mWorkload, mRun, it.mClass);
      total.Add(costs);
      Add("savings-share", it.mClass.Value(), costs.SavingsShare());
    }
    Add("cost-per-request", "all", Share(total.mActual, total.mAnswered));
    Add("cost-always-dear", "all", Share(total.mAlwaysExpensive, total.mAnswered));
    Add("cost-oracle", "all", Share(total.mOracle, total.mAnswered));
    Add("savings-share", "all", total.SavingsShare());
  }

  void AddQuality()
  {
    std::map<std::string, std::vector<double>> goodBySlice;
    std::map<std::string, double> targets;
    for (const auto& it : mRun.mRequests) {
      if (!it.mAnswered || !it.mServedVersion) {
        continue;
      }
      const double good = it.mGood ? 1 : 0;
      const double target = mWorkload.mBundle->FindClass(it.mClass)->mQualityTarget;
      goodBySlice[it.mClass.Value()].push_back(good);
      targets[it.mClass.Value()] = target;
      if (mWorkload.Team(it.mTeam).mLarge) {
        const auto slice = it.mClass.Value() + "/" + it.mTeam.Value();
        goodBySlice[slice].push_back(good);
        targets[slice] = target;
      }
    }
    double worst = 1;
    for (const auto& [slice, good] : goodBySlice) {
      double sum = 0;
      for (const double it : good) {
        sum += it;
      }
      const double share = Share(sum, static_cast<double>(good.size()));
      Add("good-share", slice, share);
      worst = std::min(worst, share - targets[slice]);
    }
    Add("good-share-above-target", "worst", worst);
  }

  void AddLatencies()
  {
    double worst = 0;
    for (const auto& load : mWorkload.mClasses) {
      std::vector<double> latencies;
      for (const auto& it : mRun.mRequests) {
        if (it.mClass == load.mClass && it.mAnswered) {
          latencies.push_back(Seconds(load.mStream ? it.mFirstToken : it.mEnd));
        }
      }
      const auto slice = load.mClass.Value();
      Add("p50-s", slice, Quantile(latencies, 0.5));
      Add("p95-s", slice, Quantile(latencies, 0.95));
      Add("p99-s", slice, Quantile(latencies, 0.99));
      const double target = Seconds(mWorkload.mBundle->FindClass(load.mClass)->mTargetLatency);
      Add("p95-of-target", slice, Quantile(latencies, 0.95) / target);
      worst = std::max(worst, Quantile(latencies, 0.95) / target);
    }
    Add("p95-of-target", "worst", worst);
  }

  void AddRefusals()
  {
    for (const auto& load : mWorkload.mClasses) {
      double count = 0;
      double refused = 0;
      double failed = 0;
      for (const auto& it : mRun.mRequests) {
        if (it.mClass != load.mClass) {
          continue;
        }
        count += 1;
        refused += !it.mAnswered && it.mVerdict == Verdict::NotRun ? 1 : 0;
        failed += !it.mAnswered && it.mVerdict != Verdict::NotRun ? 1 : 0;
      }
      Add("refused-share", load.mClass.Value(), Share(refused, count));
      Add("failed-share", load.mClass.Value(), Share(failed, count));
    }
    std::map<std::string, double> reasons;
    for (const auto& it : mRun.mRequests) {
      if (!it.mRefusalReason.empty()) {
        reasons[it.mRefusalReason] += 1;
      }
    }
    for (const auto& [reason, count] : reasons) {
      Add("refusals", reason, count);
    }
    for (const auto& team : mWorkload.mTeams) {
      double count = 0;
      double answered = 0;
      for (const auto& it : mRun.mRequests) {
        count += it.mTeam == team.mTeam ? 1 : 0;
        answered += it.mTeam == team.mTeam && it.mAnswered ? 1 : 0;
      }
      Add("answered-share", team.mTeam.Value(), Share(answered, count));
    }
  }

  void AddExposure()
  {
    const auto& exposure = mRun.mExposure;
    const auto requests = static_cast<double>(mRun.mRequests.size());
    Add("bad-requests", "all", static_cast<double>(exposure.mRequests));
    Add("bad-tokens", "all", static_cast<double>(exposure.mTokens));
    const double hours = Seconds(mRun.mLength) / 3600;
    Add(
      "bad-share-of-hour", "all", Share(static_cast<double>(exposure.mRequests), requests / hours));
    Add("version-stops", "all", static_cast<double>(exposure.mStops));
    if (!exposure.mFirstError) {
      return;
    }
    const auto never = mRun.mLength;
    const auto since = *exposure.mFirstError;
    Add("first-stop-s", "all", Seconds(exposure.mFirstStop.value_or(never) - since));
    const auto last = exposure.mFirstStop ? exposure.mLastDispatch.value_or(since) : never;
    Add("fleet-stop-s", "all", Seconds(std::max(last - since, std::chrono::microseconds(0))));
    std::vector<double> locals;
    for (const auto& it : exposure.mLocalStops) {
      locals.push_back(Seconds(it));
    }
    Add("local-stop-s", "median", Quantile(locals, 0.5));
    Add("local-stop-s", "max", Quantile(locals, 1));
  }

  const Workload& mWorkload;
  const RunRecord& mRun;
  std::vector<Figure> mFigures;
};

} // namespace

std::vector<Figure> ComputeFigures(const Workload& aWorkload, const RunRecord& aRun)
{
  return FigureBuilder(aWorkload, aRun).Build();
}

std::string FigureTable(const std::vector<Figure>& aFigures)
{
  std::ostringstream out;
  out << std::left << std::setprecision(5);
  for (const auto& it : aFigures) {
    out << std::setw(26) << it.mName << std::setw(30) << it.mSlice << it.mValue << "\n";
  }
  return out.str();
}

std::string CsvHeading()
{
  return "workload,router,fault,load,stage,seed,figure,slice,value\n";
}

std::string CsvLines(const RunOptions& aOptions, const std::vector<Figure>& aFigures)
{
  std::ostringstream out;
  out << std::setprecision(8);
  for (const auto& it : aFigures) {
    out << aOptions.mWorkload << "," << aOptions.mRouter << "," << FaultName(aOptions.mFaults.mKind)
        << "," << aOptions.mLoad << "," << aOptions.mStagePercent << "," << aOptions.mSeed << ","
        << it.mName << "," << it.mSlice << "," << it.mValue << "\n";
  }
  return out.str();
}

} // namespace skylarkchute
