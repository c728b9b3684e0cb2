#include "RefusalVerdict.h"

#include "../json/JsonObject.h"

#include <skylarkchute_core/errors/Verdict.h>

namespace skylarkchute {

bool ReportsNotRun(const std::string& aVerdictHeader, const std::string& aBody)
{
  if (!aVerdictHeader.empty()) {
    return aVerdictHeader == VerdictName(Verdict::NotRun);
  }
  Json::Value problem;
  return ParseJsonObject(aBody, problem) && problem["verdict"].isString() &&
         problem["verdict"].asString() == VerdictName(Verdict::NotRun);
}

} // namespace skylarkchute
