#pragma once

#include "run/RunOptions.h"
#include "run/RunRecord.h"
#include "workload/Workload.h"

#include <string>
#include <vector>

namespace skylarkchute {

/** One measured value of a run. */
struct Figure
{
  std::string mName;
  std::string mSlice; /**< `all`, a class, or `CLASS/TEAM`. */
  double mValue = 0;
};

/** Works out every figure of a run. */
std::vector<Figure> ComputeFigures(const Workload& aWorkload, const RunRecord& aRun);

/** Returns the figures as a table for people. */
std::string FigureTable(const std::vector<Figure>& aFigures);

/** Returns the heading line of the CSV. */
std::string CsvHeading();

/** Returns one CSV line a figure. */
std::string CsvLines(const RunOptions& aOptions, const std::vector<Figure>& aFigures);

} // namespace skylarkchute
