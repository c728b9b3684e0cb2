#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <string>

namespace skylarkchute {

/** Status and header values of an answer. */
struct AnswerHead
{
  int mHttpStatus = 200;
  Verdict mVerdict = Verdict::Ran;
  ModelName mModel;     /**< `Skylark-Model`; empty for plain services. */
  VersionId mVersion;   /**< `Skylark-Version`; empty for plain services. */
  std::string mSession; /**< `Skylark-Session`: token for the caller's next request, or empty. */
  std::string mContentType = "application/json";
};

} // namespace skylarkchute
