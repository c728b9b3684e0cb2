#include "Fault.h"

namespace skylarkchute {

std::string Fault::Text() const
{
  std::string text;
  if (!mSection.empty()) {
    text += "[" + mSection + "] ";
  }
  if (!mKey.empty()) {
    text += mKey + ": ";
  }
  return text + mReason;
}

std::string Faults::Text() const
{
  std::string text;
  for (const auto& it : mFaults) {
    text += it.Text() + "\n";
  }
  return text;
}

} // namespace skylarkchute
