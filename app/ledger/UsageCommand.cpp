#include "UsageCommand.h"

#include "../Commands.h"

#include <skylarkchute_bundles/json/JsonObject.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace skylarkchute {

namespace options = boost::program_options;

namespace {

constexpr std::chrono::milliseconds kListTimeout{ 10000 };

void PrintTable(const std::vector<BillLine>& aLines, std::ostream& aOut)
{
  aOut << std::left << std::setw(20) << "TEAM" << std::setw(28) << "MODEL" << std::right
       << std::setw(12) << "REQUESTS" << std::setw(14) << "PROMPT" << std::setw(14) << "COMPLETION"
       << std::setw(14) << "PRICE"
       << "\n";
  for (const auto& it : aLines) {
    aOut << std::left << std::setw(20) << it.mTeam.Value() << std::setw(28) << it.mModel
         << std::right << std::setw(12) << it.mRequests << std::setw(14) << it.mPromptTokens
         << std::setw(14) << it.mCompletionTokens << std::setw(14) << std::fixed
         << std::setprecision(4) << it.mPrice << "\n";
  }
}

void PrintJson(const std::vector<BillLine>& aLines, std::uint64_t aRepeated, std::ostream& aOut)
{
  Json::Value json;
  json["repeated"] = Json::UInt64(aRepeated);
  json["lines"] = Json::Value(Json::arrayValue);
  for (const auto& it : aLines) {
    Json::Value line;
    line["team"] = it.mTeam.Value();
    line["model"] = it.mModel;
    line["requests"] = Json::UInt64(it.mRequests);
    line["prompt_tokens"] = Json::UInt64(it.mPromptTokens);
    line["completion_tokens"] = Json::UInt64(it.mCompletionTokens);
    line["price"] = it.mPrice;
    json["lines"].append(line);
  }
  aOut << WriteJson(json) << "\n";
}

int PrintBill(ObjectApi& aStore,
              const std::string& aTeam,
              bool aJson,
              std::ostream& aOut,
              std::ostream& aErrors)
{
  const auto reply = aStore.Call({ 1, CallPurpose::Status, ListObjects{ "usage/" }, kListTimeout });
  if (reply.mStatus != ObjectStatus::Ok) {
    aErrors << "usage: the platform's object API does not answer; try again later\n";
    return static_cast<int>(ExitCode::Failed);
  }
  std::vector<UsageBatch> batches;
  bool complete = true;
  for (const auto& it : reply.mEntries) {
    if (const auto batch = DecodeUsageBatch(it.mBody)) {
      batches.push_back(*batch);
    } else {
      aErrors << "usage: cannot read " << it.mKey << "; its requests are missing below\n";
      complete = false;
    }
  }
  auto bill = AggregateUsage(batches);
  const auto isOther = [&](const BillLine& aLine) {
    return !aTeam.empty() && aLine.mTeam.Value() != aTeam;
  };
  bill.mLines.erase(std::remove_if(bill.mLines.begin(), bill.mLines.end(), isOther),
                    bill.mLines.end());
  if (aJson) {
    PrintJson(bill.mLines, bill.mDuplicateRecords, aOut);
  } else {
    PrintTable(bill.mLines, aOut);
  }
  return static_cast<int>(complete ? ExitCode::Ok : ExitCode::Failed);
}

} // namespace

int RunUsageCommand(const std::vector<std::string>& aArguments,
                    ObjectApi& aStore,
                    std::ostream& aOut,
                    std::ostream& aErrors)
{
  options::options_description description("usage: skylarkchute usage [OPTIONS]\n"
                                           "Prints the bill per team and model.\n"
                                           "Exit codes: 0 complete bill, 1 the platform did not "
                                           "answer or a batch is unreadable, 2 bad arguments.\n"
                                           "Options");
  std::string team;
  description.add_options()("help", "print this page")(
    "team", options::value(&team), "only this team")("json", "print JSON");
  options::variables_map values;
  try {
    const options::positional_options_description none;
    options::store(
      options::command_line_parser(aArguments).options(description).positional(none).run(), values);
    options::notify(values);
  } catch (const options::error& ex) {
    aErrors << "usage: " << ex.what() << "\n";
    return static_cast<int>(ExitCode::BadInput);
  }
  if (values.count("help") != 0) {
    aOut << description;
    return static_cast<int>(ExitCode::Ok);
  }
  return PrintBill(aStore, team, values.count("json") != 0, aOut, aErrors);
}

} // namespace skylarkchute
