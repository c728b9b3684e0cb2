#pragma once

#include <atomic>
#include <cstddef>

namespace skylarkchute {

/** Limits the total size, in bytes, of all request bodies in memory at a time. Thread-safe. */
class BodyBudget
{
public:
  explicit BodyBudget(std::size_t aMaxBytes) : mMaxBytes(aMaxBytes) {}

  /** Reserves bytes. @returns false, with nothing reserved, when too few are left */
  bool Reserve(std::size_t aBytes)
  {
    if (mUsed.fetch_add(aBytes) + aBytes <= mMaxBytes) {
      return true;
    }
    mUsed -= aBytes;
    return false;
  }

  /** Releases reserved bytes. */
  void Release(std::size_t aBytes) { mUsed -= aBytes; }

private:
  std::size_t mMaxBytes;
  std::atomic<std::size_t> mUsed{ 0 };
};

/** Reserves bytes of a BodyBudget and releases them on destruction. */
class BodyReservation
{
public:
  explicit BodyReservation(BodyBudget& aBudget) : mBudget(aBudget) {}

  ~BodyReservation() { mBudget.Release(mBytes); }

  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  /** Reserves more bytes. @returns false, with the reservation unchanged, when too few are left */
  bool Grow(std::size_t aBytes)
  {
    if (!mBudget.Reserve(aBytes)) {
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
