#pragma once

#include "RetryBudget.h"

#include <skylarkchute_core/skylarkchute_core.h>

#include <map>

namespace skylarkchute {

/** What one instance knows of one class of requests. */
struct ClassRow
{
  RetryBudget mBudget;
};

/** The classes, by name. */
class ClassTable
{
public:
  /** Returns the row of a class, made when it is new. */
  ClassRow& Get(const ClassName& aName) { return mRows[aName]; }

private:
  std::map<ClassName, ClassRow> mRows;
};

} // namespace skylarkchute
