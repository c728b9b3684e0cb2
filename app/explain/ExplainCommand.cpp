#include "ExplainCommand.h"

#include "../Commands.h"
#include "../platform/PlatformAddress.h"
#include "../status/HttpFetch.h"
#include "ExplainReport.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <ostream>

namespace skylarkchute {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

namespace {

constexpr std::chrono::milliseconds kAnswerTimeout{ 5000 };
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;

/** Most digits of a number of tokens; more are an error of the operator. */
constexpr std::size_t kMaxDigits = 9;

struct ExplainOptions
{
  std::string mInstance;
  std::string mHost;
  std::string mPath;
  std::string mMethod;
  std::string mKey;
  std::string mModel;
  std::string mTokens;
  std::string mPrefix;
  std::uint32_t mDeadline = 0; /**< In milliseconds; zero if none is given. */
  bool mJson = false;
};

bool IsCount(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxDigits &&
         std::all_of(
           aText.begin(), aText.end(), [](char aChar) { return aChar >= '0' && aChar <= '9'; });
}

bool IsTokens(std::string_view aText)
{
  const auto comma = aText.find(',');
  return comma != std::string_view::npos && IsCount(aText.substr(0, comma)) &&
         IsCount(aText.substr(comma + 1));
}

/** Returns whether a text is `ID:TOKENS,...`. */
bool IsPrefix(std::string_view aText)
{
  while (true) {
    const auto comma = aText.find(',');
    const auto part = aText.substr(0, comma);
    const auto colon = part.find(':');
    if (colon == std::string_view::npos || colon == 0 || !IsCount(part.substr(colon + 1))) {
      return false;
    }
    if (comma == std::string_view::npos) {
      return true;
    }
    aText = aText.substr(comma + 1);
  }
}

/** Returns the fault of the options, or an empty text. */
std::string FaultOf(const ExplainOptions& aOptions, bool aHasDeadline)
{
  if (aOptions.mInstance.empty() || aOptions.mHost.empty() || aOptions.mPath.empty()) {
    return "--instance, --host and --path are needed";
  }
  if (aOptions.mPath.front() != '/') {
    return "--path has to begin with a slash";
  }
  if (!aOptions.mTokens.empty() && !IsTokens(aOptions.mTokens)) {
    return "--tokens has to be PROMPT,OUTPUT";
  }
  if (!aOptions.mPrefix.empty() && !IsPrefix(aOptions.mPrefix)) {
    return "--prefix has to be ID:TOKENS,...";
  }
  if (aHasDeadline && (aOptions.mDeadline == 0 || aOptions.mDeadline > 1000000000)) {
    return "--deadline has to be a number of milliseconds from 1 to 1e9";
  }
  return {};
}

std::string BodyOf(const ExplainOptions& aOptions)
{
  Json::Value body(Json::objectValue);
  body["host"] = aOptions.mHost;
  body["path"] = aOptions.mPath;
  body["method"] = aOptions.mMethod;
  body["key"] = aOptions.mKey;
  body["model"] = aOptions.mModel;
  body["tokens"] = aOptions.mTokens;
  body["prefix"] = aOptions.mPrefix;
  if (aOptions.mDeadline > 0) {
    body["deadline_ms"] = aOptions.mDeadline;
  }
  return WriteJson(body);
}

ExitCode Explain(const ExplainOptions& aOptions,
                 const HostPort& aInstance,
                 std::ostream& aOut,
                 std::ostream& aErrors)
{
  const auto fail = [&](const std::string& aFault, ExitCode aCode) {
    aErrors << "skylarkchute explain: " << aFault << "\n";
    return aCode;
  };
  const auto answer = HttpPost(aInstance, "/explain", BodyOf(aOptions), kAnswerTimeout);
  if (!answer) {
    return fail(aOptions.mInstance + " does not answer", ExitCode::Failed);
  }
  const auto document = ReadJsonObject(answer->mBody);
  if (answer->mStatus == kBadRequest && document) {
    return fail(JsonTextField(*document, "error"), ExitCode::BadInput);
  }
  if (answer->mStatus != kOk || !document || !(*document)["decision"].isObject()) {
    // Older builds answer any path of this address with their metrics.
    return fail(aOptions.mInstance + " does not explain routes", ExitCode::Failed);
  }
  aOut << (aOptions.mJson ? WriteJson(*document) + "\n" : ExplainText(*document)) << std::flush;
  const bool isRefused = JsonTextField((*document)["decision"], "outcome") == "refuse";
  return isRefused ? ExitCode::Failed : ExitCode::Ok;
}

} // namespace

int RunExplainCommand(const std::vector<std::string>& aArguments,
                      std::ostream& aOut,
                      std::ostream& aErrors)
{
  ExplainOptions explain;
  options::options_description description(
    "skylarkchute explain: where a relay would send a request now, and why. Nothing is sent and\n"
    "nothing changes at the relay. Exit codes: 0 done, 1 the relay does not answer or would "
    "refuse\n"
    "the request, 2 bad input\n\noptions");
  auto add = description.add_options();
  add("help", "show this text");
  add(
    "instance", options::value(&explain.mInstance), "ADDRESS:PORT of the relay's [listen] metrics");
  add("host", options::value(&explain.mHost), "host of the request");
  add("path", options::value(&explain.mPath), "path of the request");
  add("method", options::value(&explain.mMethod)->default_value("POST"), "method of the request");
  add("key", options::value(&explain.mKey), "API key of the team; not needed on public routes");
  add("model",
      options::value(&explain.mModel),
      "model as the caller names it; * lets the relay choose");
  add("tokens", options::value(&explain.mTokens), "PROMPT,OUTPUT: tokens of prompt and answer");
  add("prefix",
      options::value(&explain.mPrefix),
      "ID:TOKENS,...: parts of the prompt; the last one names the session");
  add(
    "deadline", options::value(&explain.mDeadline), "time that the caller waits, in milliseconds");
  add("json", options::bool_switch(&explain.mJson), "print one JSON object");
  options::variables_map values;
  options::store(options::command_line_parser(aArguments).options(description).run(), values);
  options::notify(values);
  if (values.count("help") > 0) {
    aOut << description;
    return static_cast<int>(ExitCode::Ok);
  }
  if (const auto fault = FaultOf(explain, values.count("deadline") > 0); !fault.empty()) {
    aErrors << "skylarkchute explain: " << fault << "\n";
    return static_cast<int>(ExitCode::BadInput);
  }
  return static_cast<int>(leaf::try_handle_all(
    [&]() -> leaf::result<ExitCode> {
      BOOST_LEAF_AUTO(instance, ParseHostPort("--instance", explain.mInstance));
      return Explain(explain, instance, aOut, aErrors);
    },
    [&](const Faults& aFaults) {
      aErrors << "skylarkchute explain: " << aFaults.Text();
      return ExitCode::BadInput;
    },
    [&] { return ExitCode::Failed; }));
}

} // namespace skylarkchute
