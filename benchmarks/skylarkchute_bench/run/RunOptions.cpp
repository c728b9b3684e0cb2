#include "RunOptions.h"

#include <sstream>

namespace skylarkchute {

std::string RunOptions::Text() const
{
  const auto seconds = [](std::chrono::microseconds aTime) {
    return std::chrono::duration_cast<std::chrono::seconds>(aTime).count();
  };
  std::ostringstream out;
  out << "--workload " << mWorkload << " --router " << mRouter << " --seed " << mSeed << " --load "
      << mLoad << " --stage " << mStagePercent << " --seconds " << seconds(mLength);
  out << " --headroom " << mHeadroom;
  if (!mCascades) {
    out << " --no-cascades";
  }
  if (mFaults.mKind != FaultKind::None) {
    out << " --fault " << FaultName(mFaults.mKind) << " --from " << seconds(mFaults.mFrom)
        << " --until " << seconds(mFaults.mUntil);
  }
  return out.str();
}

} // namespace skylarkchute
