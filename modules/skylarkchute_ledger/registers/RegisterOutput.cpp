#include "RegisterOutput.h"

#include <iterator>

namespace skylarkchute {

namespace {

template<typename Item>
void AppendMoved(std::vector<Item>& aTarget, std::vector<Item>& aSource)
{
  aTarget.insert(aTarget.end(),
                 std::make_move_iterator(aSource.begin()),
                 std::make_move_iterator(aSource.end()));
}

} // namespace

void RegisterOutput::Append(RegisterOutput aOther)
{
  AppendMoved(mCalls, aOther.mCalls);
  AppendMoved(mOutcomes, aOther.mOutcomes);
  AppendMoved(mEvents, aOther.mEvents);
}

} // namespace skylarkchute
