#include "EventLog.h"

#include <json/json.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <mutex>

namespace skylarkchute {

namespace {

log4cxx::LoggerPtr SharedLogger()
{
  static const log4cxx::LoggerPtr logger = [] {
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d %-5p %m%n"));
    const auto appender =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    auto created = log4cxx::Logger::getLogger("skylarkchute");
    created->addAppender(appender);
    created->setAdditivity(false);
    created->setLevel(log4cxx::Level::getDebug());
    return created;
  }();
  return logger;
}

log4cxx::LevelPtr LevelOf(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::Debug:
      return log4cxx::Level::getDebug();
    case EventLevel::Info:
      return log4cxx::Level::getInfo();
    case EventLevel::Warning:
      return log4cxx::Level::getWarn();
    case EventLevel::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

} // namespace

EventLog::EventLog(std::string aInstance, LogFormat aFormat, EventLevel aMinimum)
  : mInstance(std::move(aInstance))
  , mFormat(aFormat)
  , mMinimum(aMinimum)
{
}

void EventLog::Write(const LogEvent& aEvent) const
{
  if (!Accepts(*aEvent.mDescription)) {
    return;
  }
  SharedLogger()->log(LevelOf(aEvent.mDescription->mLevel), Render(aEvent));
}

std::string EventLog::Render(const LogEvent& aEvent) const
{
  if (mFormat == LogFormat::Json) {
    Json::Value line(Json::objectValue);
    line["event"] = aEvent.mDescription->mNumber;
    line["name"] = std::string(aEvent.mDescription->mName);
    line["instance"] = mInstance;
    for (const auto& it : aEvent.mFields) {
      line[it.mName] = it.mValue;
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, line);
  }
  std::string line = std::to_string(aEvent.mDescription->mNumber) + " " +
                     std::string(aEvent.mDescription->mName) + " instance=" + mInstance;
  for (const auto& it : aEvent.mFields) {
    line += " " + it.mName + "=" + Json::valueToQuotedString(it.mValue.c_str());
  }
  return line;
}

} // namespace skylarkchute
