#include "AuditCommand.h"

#include "CommandSupport.h"

#include <skylarkchute_bundles/json/JsonObject.h>

#include <boost/program_options.hpp>

#include <iomanip>
#include <ostream>

namespace skylarkchute {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

namespace {

void PrintLine(const AuditRecord& aRecord, std::ostream& aOut)
{
  aOut << FormatTime(aRecord.mAt) << "  generation " << std::setw(5) << std::left
       << aRecord.mGeneration << std::setw(11) << AuditActionName(aRecord.mAction) << std::setw(16)
       << aRecord.mActor;
  if (!aRecord.mProposal.IsEmpty()) {
    aOut << " proposal " << aRecord.mProposal.Value();
  }
  if (!aRecord.mDetail.empty()) {
    aOut << " " << aRecord.mDetail;
  }
  aOut << "\n";
}

void PrintJson(const AuditRecord& aRecord, std::ostream& aOut)
{
  Json::Value line(Json::objectValue);
  line["at"] = FormatTime(aRecord.mAt);
  line["generation"] = Json::UInt64(aRecord.mGeneration);
  line["action"] = AuditActionName(aRecord.mAction);
  line["actor"] = aRecord.mActor;
  line["proposal"] = aRecord.mProposal.Value();
  line["bundle"] = aRecord.mBundle.Value();
  line["detail"] = aRecord.mDetail;
  aOut << WriteJson(line) << "\n";
}

leaf::result<void> PrintTrail(ObjectApi& aStore, WallTime aSince, bool aJson, std::ostream& aOut)
{
  BOOST_LEAF_AUTO(head, BundleArchive(aStore).ReadStoredHead());
  const auto known = head ? std::optional(head->mHead) : std::nullopt;
  BOOST_LEAF_AUTO(records, AuditTrail(aStore).Read(known, aSince));
  for (const auto& it : records) {
    if (aJson) {
      PrintJson(it, aOut);
    } else {
      PrintLine(it, aOut);
    }
  }
  return {};
}

} // namespace

int RunAuditCommand(const std::vector<std::string>& aArguments,
                    ObjectApi& aStore,
                    std::ostream& aOut,
                    std::ostream& aErrors,
                    const Clock& aClock)
{
  options::options_description description(
    "usage: skylarkchute audit [OPTIONS]\n"
    "Prints who proposed, approved, rolled, reverted or withdrew what, oldest first.\n"
    "Exit codes: 0 printed, 1 the platform did not answer, 2 bad arguments.\n"
    "Options");
  std::string since;
  description.add_options()("help", "print this page")(
    "since",
    options::value(&since)->default_value("24h"),
    "earliest time to print: a duration back from now, or a time such as 2026-03-09T12:00:00Z")(
    "json", "print one JSON object per line");
  options::variables_map values;
  try {
    const options::positional_options_description none;
    options::store(
      options::command_line_parser(aArguments).options(description).positional(none).run(), values);
    options::notify(values);
  } catch (const options::error& ex) {
    aErrors << "audit: " << ex.what() << "\n";
    return static_cast<int>(ExitCode::BadInput);
  }
  if (values.count("help") != 0) {
    aOut << description;
    return static_cast<int>(ExitCode::Ok);
  }
  const auto begin = ParseSince(since, aClock.WallNow());
  if (!begin) {
    aErrors << "audit: '" << since << "' is neither a duration nor a time\n";
    return static_cast<int>(ExitCode::BadInput);
  }
  return static_cast<int>(RunAndPrintErrors(
    "audit", aErrors, [&] { return PrintTrail(aStore, *begin, values.count("json") != 0, aOut); }));
}

} // namespace skylarkchute
