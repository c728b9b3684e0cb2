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
  /** `all`, `worst`, `median`, `max`, a class, a team, `CLASS/TEAM` or a refusal reason. */
  std::string mSlice;
  double mValue = 0;
};

/** Computes all figures of a run. */
std::vector<Figure> ComputeFigures(const Workload& aWorkload, const RunRecord& aRun);

/** Returns the figures as a human-readable table. */
std::string FigureTable(const std::vector<Figure>& aFigures);

/** Returns the header line of the CSV file. */
std::string CsvHeading();

/** Returns one CSV line per figure. */
std::string CsvLines(const RunOptions& aOptions, const std::vector<Figure>& aFigures);

} // namespace skylarkchute
