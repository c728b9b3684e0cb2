#pragma once

#include <cstdint>

namespace skylarkchute {

/** Tells the largest tenth of prompts from the others. The bound follows the sizes that are seen:
    each larger prompt raises it by nine times as much as a smaller one lowers it. */
class PromptSizeClass
{
public:
  /** Records a prompt.
      @returns whether it is among the largest tenth */
  bool OnPrompt(std::uint64_t aTokens)
  {
    const auto tokens = static_cast<double>(aTokens);
    if (mBound == 0) {
      mBound = tokens;
      return false;
    }
    const bool isLarge = tokens > mBound;
    mBound *= isLarge ? kRaise : kLower;
    return isLarge;
  }

private:
  static constexpr double kRaise = 1.09;
  static constexpr double kLower = 0.99;

  double mBound = 0; /**< In tokens; zero until a prompt with tokens was seen. */
};

} // namespace skylarkchute
