#include "CommandSupport.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/Timestamp.h>

#include <fstream>
#include <ostream>
#include <sstream>

namespace skylarkchute {

namespace leaf = boost::leaf;

std::string FormatTime(WallTime aTime)
{
  const auto micros =
    std::chrono::duration_cast<std::chrono::microseconds>(aTime.time_since_epoch());
  return Poco::DateTimeFormatter::format(Poco::Timestamp(micros.count()),
                                         Poco::DateTimeFormat::ISO8601_FORMAT);
}

std::optional<WallTime> ParseSince(const std::string& aText, WallTime aNow)
{
  const auto duration = ReadDuration(aText);
  if (duration) {
    return aNow - *duration;
  }
  Poco::DateTime time;
  int zoneSeconds = 0;
  if (!Poco::DateTimeParser::tryParse(
        Poco::DateTimeFormat::ISO8601_FORMAT, aText, time, zoneSeconds)) {
    return std::nullopt;
  }
  const WallTime parsed(std::chrono::microseconds(time.timestamp().epochMicroseconds()));
  // Poco's parser accepts almost any text; only the exact format is a valid time.
  return FormatTime(parsed) == aText ? std::optional(parsed) : std::nullopt;
}

std::optional<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::ostringstream buf;
  if (!in || !(buf << in.rdbuf())) {
    return std::nullopt;
  }
  return buf.str();
}

ExitCode RunAndPrintErrors(const std::string& aCommand,
                           std::ostream& aErrors,
                           const std::function<leaf::result<void>()>& aOperation)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<ExitCode> {
      if (auto checked = aOperation(); !checked) {
        return checked.error();
      }
      return ExitCode::Ok;
    },
    [&](const Faults& aFaults) {
      for (const auto& it : aFaults.mFaults) {
        aErrors << aCommand << ": " << it.Text() << "\n";
      }
      return ExitCode::BadInput;
    },
    [&](const LifecycleError& aError) {
      aErrors << aCommand << ": " << aError.mMessage << "\n";
      return ExitCode::Failed;
    },
    [&] {
      aErrors << aCommand << ": failed\n";
      return ExitCode::Failed;
    });
}

} // namespace skylarkchute
