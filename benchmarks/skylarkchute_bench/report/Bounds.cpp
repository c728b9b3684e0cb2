#include "Bounds.h"

#include "run/FleetRun.h"
#include "run/RunCommandLine.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace skylarkchute {

namespace {

constexpr std::string_view kSectionPrefix = "bound ";
constexpr double kUnlimited = 1e12;

std::optional<double> ReadLimit(SectionReader& aReader,
                                const IniSection& aSection,
                                const std::string& aKey)
{
  const auto it = std::find_if(aSection.mEntries.begin(),
                               aSection.mEntries.end(),
                               [&](const IniEntry& aEntry) { return aEntry.mKey == aKey; });
  if (it == aSection.mEntries.end()) {
    return std::nullopt;
  }
  return aReader.ReadNumberIn(aKey, -kUnlimited, kUnlimited);
}

Bound ReadBound(const IniSection& aSection, std::vector<Fault>& aFaults)
{
  SectionReader reader(aSection, aFaults);
  Bound bound;
  bound.mName = aSection.mName.substr(kSectionPrefix.size());
  try {
    bound.mRun = ParseRunOptions(reader.ReadText("run", ""));
  } catch (const boost::program_options::error& error) {
    reader.AddFault("run", error.what());
  }
  bound.mFigure = reader.ReadText("figure", "");
  bound.mSlice = reader.ReadText("slice", "all");
  bound.mLeast = ReadLimit(reader, aSection, "least");
  bound.mMost = ReadLimit(reader, aSection, "most");
  bound.mTarget = reader.ReadText("target", "");
  if (!bound.mLeast && !bound.mMost) {
    reader.AddFault("least", "a bound needs `least` or `most`");
  }
  if (bound.mTarget.empty()) {
    reader.AddFault("target",
                    "a bound needs a `target`, the requirement that the bound comes from");
  }
  reader.Finish();
  return bound;
}

std::optional<double> FindFigure(const std::vector<Figure>& aFigures, const Bound& aBound)
{
  const auto it = std::find_if(aFigures.begin(), aFigures.end(), [&](const Figure& aFigure) {
    return aFigure.mName == aBound.mFigure && aFigure.mSlice == aBound.mSlice;
  });
  return it == aFigures.end() ? std::nullopt : std::optional<double>(it->mValue);
}

std::vector<Figure> RunFigures(const RunOptions& aOptions)
{
  const auto workload = MakeWorkload(aOptions.mWorkload, aOptions.ToWorkloadOptions());
  return ComputeFigures(*workload, FleetRun(*workload, aOptions).Run());
}

} // namespace

std::string BoundResult::Text() const
{
  std::ostringstream out;
  const char* const status = mHolds ? "holds" : (mKnownFailure ? "KNOWN RED" : "FAILS");
  out << std::left << std::setw(10) << status << std::setw(34) << mBound.mName << mBound.mFigure
      << " " << mBound.mSlice << " = ";
  if (mValue) {
    out << *mValue;
  } else {
    out << "(none)";
  }
  if (mBound.mLeast) {
    out << ", least " << *mBound.mLeast;
  }
  if (mBound.mMost) {
    out << ", most " << *mBound.mMost;
  }
  return out.str();
}

boost::leaf::result<std::vector<Bound>> ParseBounds(const std::string& aText)
{
  BOOST_LEAF_AUTO(document, IniDocument::Parse(aText));
  std::vector<Bound> bounds;
  std::vector<Fault> faults;
  for (const auto& it : document.Sections()) {
    if (it.mName.rfind(kSectionPrefix, 0) != 0) {
      faults.push_back({ it.mName, "", "a section name must have the form `bound NAME`" });
      continue;
    }
    bounds.push_back(ReadBound(it, faults));
  }
  if (!faults.empty()) {
    return boost::leaf::new_error(Faults{ faults });
  }
  return bounds;
}

std::vector<BoundResult> CheckBounds(const std::vector<Bound>& aBounds,
                                     const std::string& aKnownFailures)
{
  std::map<std::string, std::vector<Figure>> figuresByRun;
  std::vector<BoundResult> results;
  for (const auto& bound : aBounds) {
    const auto key = bound.mRun.Text();
    if (figuresByRun.count(key) == 0) {
      figuresByRun[key] = RunFigures(bound.mRun);
    }
    BoundResult result;
    result.mBound = bound;
    result.mValue = FindFigure(figuresByRun[key], bound);
    result.mHolds = result.mValue.has_value() &&
                    *result.mValue >= bound.mLeast.value_or(-kUnlimited) &&
                    *result.mValue <= bound.mMost.value_or(kUnlimited);
    result.mKnownFailure = aKnownFailures.find("bound " + bound.mName + ":") != std::string::npos;
    results.push_back(std::move(result));
  }
  return results;
}

} // namespace skylarkchute
