#pragma once

#include "RetryBudget.h"

#include <skylarkchute_core/skylarkchute_core.h>

#include <map>

namespace skylarkchute {

/** The state that one instance keeps for a class of requests. */
struct ClassRow
{
  RetryBudget mBudget;
};

/** The classes, by name. */
class ClassTable
{
public:
  /** Returns the row of a class; creates it if it does not exist. */
  ClassRow& Get(const ClassName& aName) { return mRows[aName]; }

private:
  std::map<ClassName, ClassRow> mRows;
};

} // namespace skylarkchute
