#include "RunCommandLine.h"

namespace po = boost::program_options;

namespace skylarkchute {

namespace {

std::string FaultHelp()
{
  std::string text = "fault: ";
  for (const auto& it : FaultNames()) {
    text += (it == "none" ? "" : ", ") + it;
  }
  return text;
}

void Require(bool aCondition, const std::string& aMessage)
{
  if (!aCondition) {
    throw po::error(aMessage);
  }
}

} // namespace

po::options_description RunOptionsDescription()
{
  po::options_description description("One run");
  auto add = description.add_options();
  add("workload", po::value<std::string>()->default_value("call-boxes"), "call-boxes or booking");
  add("router",
      po::value<std::string>()->default_value("skylarkchute"),
      "naive, random, least-loaded or skylarkchute");
  add("seed", po::value<std::uint64_t>()->default_value(1), "seed of all random draws");
  add("load", po::value<double>()->default_value(1), "factor on every arrival rate");
  add("stage",
      po::value<double>()->default_value(0),
      "share of the rolling version in percent, reached in up to three stages 200 s apart");
  add("headroom",
      po::value<double>()->default_value(100),
      "team limits as a multiple of their mean demand at normal load");
  add("seconds", po::value<std::uint32_t>()->default_value(600), "length of the run in seconds");
  add("fault", po::value<std::string>()->default_value("none"), FaultHelp().c_str());
  add("from", po::value<std::uint32_t>()->default_value(120), "start of the fault in seconds");
  add("until", po::value<std::uint32_t>(), "end of the fault in seconds; default: end of the run");
  add("no-cascades", "every class uses the expensive model only");
  return description;
}

RunOptions RunOptionsFrom(const po::variables_map& aValues)
{
  RunOptions run;
  run.mWorkload = aValues["workload"].as<std::string>();
  run.mRouter = aValues["router"].as<std::string>();
  run.mSeed = aValues["seed"].as<std::uint64_t>();
  run.mLoad = aValues["load"].as<double>();
  run.mStagePercent = aValues["stage"].as<double>();
  run.mHeadroom = aValues["headroom"].as<double>();
  run.mCascades = aValues.count("no-cascades") == 0;
  run.mLength = std::chrono::seconds(aValues["seconds"].as<std::uint32_t>());
  const auto fault = FindFault(aValues["fault"].as<std::string>());
  Require(fault.has_value(), "unknown fault " + aValues["fault"].as<std::string>());
  run.mFaults.mKind = *fault;
  run.mFaults.mFrom = std::chrono::seconds(aValues["from"].as<std::uint32_t>());
  run.mFaults.mUntil = run.mLength;
  if (aValues.count("until") > 0) {
    run.mFaults.mUntil = std::chrono::seconds(aValues["until"].as<std::uint32_t>());
  }
  Require(run.mWorkload == "call-boxes" || run.mWorkload == "booking",
          "unknown workload " + run.mWorkload);
  const bool isKnownRouter = run.mRouter == "naive" || run.mRouter == "random" ||
                             run.mRouter == "least-loaded" || run.mRouter == "skylarkchute";
  Require(isKnownRouter, "unknown router " + run.mRouter);
  Require(run.mLoad > 0, "the load must be greater than zero");
  return run;
}

RunOptions ParseRunOptions(const std::string& aLine)
{
  po::variables_map values;
  const auto words = po::split_unix(aLine);
  po::store(po::command_line_parser(words).options(RunOptionsDescription()).run(), values);
  po::notify(values);
  return RunOptionsFrom(values);
}

} // namespace skylarkchute
