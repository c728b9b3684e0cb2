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
  bool Reserve(std::size_t aBytes) { return ReserveUpTo(mMaxBytes, aBytes); }

  /** Reserves bytes for a body that is already long. Such bodies share three quarters of the total,
      so that ordinary ones are read beside them.
      @returns as Reserve() */
  bool ReserveForLarge(std::size_t aBytes)
  {
    constexpr std::size_t kParts = 4;
    return ReserveUpTo(mMaxBytes - mMaxBytes / kParts, aBytes);
  }

  /** Releases reserved bytes. */
  void Release(std::size_t aBytes) { mUsed -= aBytes; }

private:
  bool ReserveUpTo(std::size_t aMaxBytes, std::size_t aBytes)
  {
    if (mUsed.fetch_add(aBytes) + aBytes <= aMaxBytes) {
      return true;
    }
    mUsed -= aBytes;
    return false;
  }

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
    const bool isLarge = mBytes + aBytes > kLargeBytes;
    if (!(isLarge ? mBudget.ReserveForLarge(aBytes) : mBudget.Reserve(aBytes))) {
      return false;
    }
    mBytes += aBytes;
    return true;
  }

private:
  static constexpr std::size_t kLargeBytes = 256 * 1024;

  BodyBudget& mBudget;
  std::size_t mBytes = 0;
};

} // namespace skylarkchute
