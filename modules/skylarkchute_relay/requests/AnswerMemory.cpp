#include "AnswerMemory.h"

#include <utility>

namespace skylarkchute {

namespace {

constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxTotalBytes = 24 * 1024 * 1024;

/** Answers up to this length are held whatever the others take, so that a few endless ones do not
    fail all the rest. */
constexpr std::size_t kSmallAnswerBytes = 256 * 1024;

} // namespace

AnswerMemory::Share::Share(Share&& aOther) noexcept
  : mMemory(std::exchange(aOther.mMemory, nullptr))
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

AnswerMemory::Share& AnswerMemory::Share::operator=(Share&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mMemory = std::exchange(aOther.mMemory, nullptr);
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

bool AnswerMemory::Share::Grow(std::size_t aBytes)
{
  if (mMemory == nullptr) {
    return false;
  }
  const auto own = mBytes + aBytes;
  const bool fitsTotal = mMemory->mBytes + aBytes <= kMaxTotalBytes;
  if (own > kMaxAnswerBytes || (own > kSmallAnswerBytes && !fitsTotal)) {
    return false;
  }
  mBytes = own;
  mMemory->mBytes += aBytes;
  return true;
}

void AnswerMemory::Share::Release()
{
  if (mMemory != nullptr) {
    mMemory->mBytes -= mBytes;
  }
  mMemory = nullptr;
  mBytes = 0;
}

} // namespace skylarkchute
