#pragma once

#include "RelayConfig.h"

#include <skylarkchute_core/skylarkchute_core.h>

#include <map>
#include <utility>

namespace skylarkchute {

/** What the confidences of the smallest model have meant, by class of route and prompt length.

    Nobody tells which answers were right. A stated confidence therefore counts as the probability
    that the answer is right, until larger models answer the same requests. If they are not surer of
    requests whose small answers were dropped, dropping gained nothing. Evidence fades with time, so
    that a changed model is noticed. */
class ConfidenceCalibration
{
public:
  /** Requests whose confidences are comparable. Prompt lengths are grouped by powers of two. */
  struct Kind
  {
    RouteClass mClass{};
    std::uint64_t mPromptTokens = 0;
  };

  /** Records an answer of the smallest model.
      @param aConfidence  0 to 1, as stated
      @param aIsTooLow    whether it was below the required one */
  void OnAnswer(const Kind& aKind, double aConfidence, bool aIsTooLow, TimePoint aNow);

  /** Records the confidence that the largest model states after a dropped answer.
      @param aDropped  confidence of the dropped answer, 0 to 1 */
  void OnLargerAnswer(RouteClass aClass, double aDropped, double aLarger, TimePoint aNow);

  /** Returns the probability, 0 to 1, that an answer of the smallest model is as good as one of the
      largest. Without evidence this is the stated confidence. */
  double Right(RouteClass aClass, double aConfidence, TimePoint aNow) const;

  /** Returns the mean confidence of the smallest model's answers, 0 to 1. */
  double MeanConfidence(const Kind& aKind, TimePoint aNow) const;

  /** Returns the share of the smallest model's answers whose confidence suffices. */
  double AcceptedShare(const Kind& aKind, TimePoint aNow) const;

  /** Returns whether a request is to run on the smallest model although such answers are mostly
      dropped. Without these trials a change would not be noticed. */
  bool TakeTrial(const Kind& aKind, TimePoint aNow);

private:
  /** Sums over the recorded answers, whose weights fade. */
  struct Evidence
  {
    double mWeight = 0;
    double mConfidence = 0; /**< Sum; in mLarger, of the confidence gained. */
    double mAccepted = 0;
    TimePoint mAt{};
    std::uint32_t mUntried = 0; /**< Requests since the last trial. */

    Evidence At(TimePoint aNow) const;
  };
  using Key = std::pair<RouteClass, int>;

  static Key KeyOf(const Kind& aKind);

  std::map<Key, Evidence> mAnswers;
  std::map<RouteClass, Evidence> mLarger; /**< Confidence gained by the largest model. */
};

} // namespace skylarkchute
