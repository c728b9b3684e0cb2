#include "RegisterOutput.h"

#include <iterator>

namespace skylarkchute {

namespace {

template<typename Item>
void MoveTo(std::vector<Item>& aTarget, std::vector<Item>& aSource)
{
  aTarget.insert(aTarget.end(),
                 std::make_move_iterator(aSource.begin()),
                 std::make_move_iterator(aSource.end()));
}

} // namespace

void RegisterOutput::Append(RegisterOutput aOther)
{
  MoveTo(mCalls, aOther.mCalls);
  MoveTo(mOutcomes, aOther.mOutcomes);
  MoveTo(mEvents, aOther.mEvents);
}

} // namespace skylarkchute
