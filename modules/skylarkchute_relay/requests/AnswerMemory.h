#pragma once

#include <cstddef>

namespace skylarkchute {

/** Bounds the memory of the answers that are held until they are complete, of each one and of all
    together. */
class AnswerMemory
{
public:
  /** The part that one answer takes. It is given back when the share is destroyed. */
  class Share
  {
  public:
    Share() = default;
    explicit Share(AnswerMemory& aMemory) : mMemory(&aMemory) {}
    ~Share() { Release(); }

    Share(Share&& aOther) noexcept;
    Share& operator=(Share&& aOther) noexcept;

    /** Takes more memory, unless that would pass a limit.
        @param aBytes  length of what is added to the answer, in bytes
        @returns whether it was taken */
    bool Grow(std::size_t aBytes);

  private:
    void Release();

    AnswerMemory* mMemory = nullptr; /**< Null if the share can't grow. */
    std::size_t mBytes = 0;
  };

  AnswerMemory() = default;
  AnswerMemory(const AnswerMemory&) = delete;
  AnswerMemory& operator=(const AnswerMemory&) = delete;

private:
  std::size_t mBytes = 0; /**< Of all shares. */
};

} // namespace skylarkchute
