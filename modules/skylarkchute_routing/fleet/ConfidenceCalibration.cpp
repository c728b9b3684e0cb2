#include "ConfidenceCalibration.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace skylarkchute {

namespace {

/** Time after which an answer counts half. */
constexpr std::chrono::seconds kEvidenceHalfLife{ 300 };

/** Number of answers that the prior counts as. Thirty consecutive low answers are needed before a
    kind counts as mostly dropped. */
constexpr double kPriorWeight = 8;

/** Prior of the mean confidence and of the share of accepted answers. */
constexpr double kPriorShare = 0.5;

/** Mean gain of confidence from the largest model, 0 to 1, from which on stated confidences are
    taken as they are. Below it the gain is too small to trust the difference between two models
    that may state confidences on different scales. */
constexpr double kFullGain = 0.25;

/** One in this many requests of a kind that goes straight to the largest model is a trial. */
constexpr std::uint32_t kTrialInterval = 16;

/** Limits the memory for classes of configurations that are no longer in force. */
constexpr std::size_t kMaxKinds = 1024;

template<typename Map>
typename Map::mapped_type& Entry(Map& aMap, const typename Map::key_type& aKey)
{
  if (aMap.size() >= kMaxKinds && aMap.find(aKey) == aMap.end()) {
    aMap.clear();
  }
  return aMap[aKey];
}

} // namespace

ConfidenceCalibration::Evidence ConfidenceCalibration::Evidence::At(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mAt;
  const double factor = std::exp2(-(age / kEvidenceHalfLife));
  auto faded = *this;
  faded.mWeight *= factor;
  faded.mConfidence *= factor;
  faded.mAccepted *= factor;
  faded.mAt = aNow;
  return faded;
}

ConfidenceCalibration::Key ConfidenceCalibration::KeyOf(const Kind& aKind)
{
  return { aKind.mClass, static_cast<int>(std::bit_width(aKind.mPromptTokens)) };
}

void ConfidenceCalibration::OnAnswer(const Kind& aKind,
                                     double aConfidence,
                                     bool aIsTooLow,
                                     TimePoint aNow)
{
  auto& evidence = Entry(mAnswers, KeyOf(aKind));
  evidence = evidence.At(aNow);
  evidence.mWeight += 1;
  evidence.mConfidence += aConfidence;
  evidence.mAccepted += aIsTooLow ? 0 : 1;
}

void ConfidenceCalibration::OnLargerAnswer(RouteClass aClass,
                                           double aDropped,
                                           double aLarger,
                                           TimePoint aNow)
{
  auto& evidence = Entry(mLarger, aClass);
  evidence = evidence.At(aNow);
  evidence.mWeight += 1;
  evidence.mConfidence += aLarger - aDropped;
}

double ConfidenceCalibration::Right(RouteClass aClass, double aConfidence, TimePoint aNow) const
{
  const auto found = mLarger.find(aClass);
  if (found == mLarger.end()) {
    return aConfidence;
  }
  const auto evidence = found->second.At(aNow);
  const double gain =
    (kPriorWeight + evidence.mConfidence) / (kPriorWeight + evidence.mWeight) / kFullGain;
  return 1 - std::clamp(gain, 0.0, 1.0) * (1 - aConfidence);
}

double ConfidenceCalibration::MeanConfidence(const Kind& aKind, TimePoint aNow) const
{
  const auto found = mAnswers.find(KeyOf(aKind));
  const auto evidence = found == mAnswers.end() ? Evidence{} : found->second.At(aNow);
  return (kPriorWeight * kPriorShare + evidence.mConfidence) / (kPriorWeight + evidence.mWeight);
}

double ConfidenceCalibration::AcceptedShare(const Kind& aKind, TimePoint aNow) const
{
  const auto found = mAnswers.find(KeyOf(aKind));
  const auto evidence = found == mAnswers.end() ? Evidence{} : found->second.At(aNow);
  return (kPriorWeight * kPriorShare + evidence.mAccepted) / (kPriorWeight + evidence.mWeight);
}

bool ConfidenceCalibration::TakeTrial(const Kind& aKind, TimePoint aNow)
{
  auto& evidence = Entry(mAnswers, KeyOf(aKind));
  evidence = evidence.At(aNow);
  evidence.mUntried = (evidence.mUntried + 1) % kTrialInterval;
  return evidence.mUntried == 0;
}

} // namespace skylarkchute
