#pragma once

#include <atomic>
#include <cstddef>

namespace skylarkchute {

/** Bounds the memory that request bodies take together. Safe to use from several threads. */
class BodyBudget
{
public:
  explicit BodyBudget(std::size_t aMaxBytes) : mMaxBytes(aMaxBytes) {}

  /** Takes part of the budget. @returns false when too little is left */
  bool Take(std::size_t aBytes)
  {
    if (mUsed.fetch_add(aBytes) + aBytes <= mMaxBytes) {
      return true;
    }
    mUsed -= aBytes;
    return false;
  }

  /** Gives back what was taken. */
  void GiveBack(std::size_t aBytes) { mUsed -= aBytes; }

private:
  std::size_t mMaxBytes;
  std::atomic<std::size_t> mUsed{ 0 };
};

/** Holds a part of the budget until destroyed. */
class BodyShare
{
public:
  explicit BodyShare(BodyBudget& aBudget) : mBudget(aBudget) {}

  ~BodyShare() { mBudget.GiveBack(mBytes); }

  BodyShare(const BodyShare&) = delete;
  BodyShare& operator=(const BodyShare&) = delete;

  /** Takes more of the budget. @returns false when too little is left */
  bool Grow(std::size_t aBytes)
  {
    if (!mBudget.Take(aBytes)) {
      return false;
    }
    mBytes += aBytes;
    return true;
  }

private:
  BodyBudget& mBudget;
  std::size_t mBytes = 0;
};

} // namespace skylarkchute
