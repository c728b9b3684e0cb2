#include "CheckBundle.h"

#include "CommandSupport.h"

#include <ostream>

namespace skylarkchute {

namespace leaf = boost::leaf;

int RunCheckBundle(const std::vector<std::string>& aFiles,
                   std::ostream& aOut,
                   std::ostream& aErrors)
{
  bool allValid = true;
  for (const auto& it : aFiles) {
    const auto text = ReadFile(it);
    if (!text) {
      aErrors << it << ": cannot be read\n";
      allValid = false;
      continue;
    }
    const auto code = RunAndPrintErrors(it, aErrors, [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(bundle, ParseBundle(*text));
      aOut << it << ": valid, " << bundle.mTeams.size() << " teams, " << bundle.mVersions.size()
           << " versions, " << bundle.mRolls.size() << " rolls\n";
      return {};
    });
    allValid = allValid && code == ExitCode::Ok;
  }
  return static_cast<int>(allValid ? ExitCode::Ok : ExitCode::BadInput);
}

} // namespace skylarkchute
