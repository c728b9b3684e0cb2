#include "BundleText.h"

#include "../parts/BundleParts.h"

namespace skylarkchute {

namespace {

/** Builds the text of one INI section. */
class SectionWriter
{
public:
  explicit SectionWriter(const std::string& aName) : mText("[" + aName + "]\n") {}

  SectionWriter& Add(std::string_view aKey, const std::string& aValue)
  {
    mText += std::string(aKey) + " = " + aValue + "\n";
    return *this;
  }

  SectionWriter& AddFlag(std::string_view aKey, bool aValue)
  {
    return Add(aKey, aValue ? "true" : "false");
  }

  /** Adds a list; an empty one is omitted. */
  template<typename Name>
  SectionWriter& AddNames(std::string_view aKey, const std::vector<Name>& aNames)
  {
    std::vector<std::string> items;
    items.reserve(aNames.size());
    for (const auto& it : aNames) {
      items.push_back(it.Value());
    }
    return items.empty() ? *this : Add(aKey, WriteList(items));
  }

  std::string Text() const { return mText + "\n"; }

private:
  std::string mText;
};

std::string StateName(VersionState aState)
{
  switch (aState) {
    case VersionState::Active:
      return "active";
    case VersionState::Rolling:
      return "rolling";
    case VersionState::Withdrawn:
      return "withdrawn";
  }
  return "withdrawn";
}

} // namespace

std::string RenderHeader(const Bundle& aBundle)
{
  return SectionWriter("bundle")
    .Add("title", aBundle.mTitle)
    .Add("claim-retention", WriteDuration(aBundle.mRetention.mClaims))
    .Add("pin-retention", WriteDuration(aBundle.mRetention.mPins))
    .Text();
}

std::string RenderSection(const Team& aTeam)
{
  std::vector<std::string> keys;
  for (const auto& it : aTeam.mKeyHashes) {
    keys.push_back(it.mSalt + ":" + it.mSha256Hex);
  }
  return SectionWriter("team " + aTeam.mName.Value())
    .Add("keys", WriteList(keys))
    .AddNames("models", aTeam.mModels)
    .AddNames("versions", aTeam.mVersions)
    .AddNames("services", aTeam.mServices)
    .Add("requests-per-second", WriteNumber(aTeam.mRequestsPerSecond))
    .Add("tokens-per-second", WriteNumber(aTeam.mTokensPerSecond))
    .Add("concurrency", std::to_string(aTeam.mConcurrency))
    .Add("weight", WriteNumber(aTeam.mWeight))
    .Text();
}

std::string RenderSection(const Model& aModel)
{
  return SectionWriter("model " + aModel.mName.Value())
    .Add("price-per-thousand-tokens", WriteNumber(aModel.mPricePerThousandTokens))
    .Add("quality", WriteNumber(aModel.mQuality))
    .Text();
}

std::string RenderSection(const ModelVersion& aVersion)
{
  return SectionWriter("version " + aVersion.mId.Value())
    .Add("state", StateName(aVersion.mState))
    .Add("label", aVersion.mLabel)
    .Text();
}

std::string RenderSection(const RequestClass& aClass)
{
  SectionWriter writer("class " + aClass.mName.Value());
  writer.Add("priority", std::to_string(aClass.mPriority))
    .Add("target-latency", WriteDuration(aClass.mTargetLatency))
    .Add("quality-target", WriteNumber(aClass.mQualityTarget))
    .AddFlag("idempotent", aClass.mIdempotent)
    .AddFlag("hedged", aClass.mHedged);
  if (aClass.mCascade) {
    writer.Add("cascade", aClass.mCascade->Value());
  }
  return writer.Text();
}

std::string RenderSection(const Cascade& aCascade)
{
  return SectionWriter("cascade " + aCascade.mName.Value())
    .AddNames("models", aCascade.mModels)
    .Text();
}

std::string RenderSection(const RollPlan& aRoll)
{
  std::vector<std::string> stages;
  for (const auto it : aRoll.mStagePercents) {
    stages.push_back(WriteNumber(it));
  }
  return SectionWriter("roll " + aRoll.mName.Value())
    .Add("from", aRoll.mFrom.Value())
    .Add("to", aRoll.mTo.Value())
    .Add("stages", WriteList(stages))
    .Add("hold", WriteDuration(aRoll.mHold))
    .Add("evidence", std::to_string(aRoll.mEvidence))
    .Add("max-error-rate-increase", WriteNumber(aRoll.mThresholds.mErrorRateIncrease))
    .Add("max-latency-ratio", WriteNumber(aRoll.mThresholds.mLatencyRatio))
    .Add("max-quality-drop", WriteNumber(aRoll.mThresholds.mQualityDrop))
    .Text();
}

std::string RenderSection(const Service& aService)
{
  return SectionWriter("service " + aService.mName.Value())
    .AddFlag("idempotent", aService.mIdempotent)
    .Add("timeout", WriteDuration(aService.mTimeout))
    .Text();
}

std::string RenderSection(const EndpointRule& aRule)
{
  return SectionWriter("endpoint " + aRule.mZone.Value() + "/" + aRule.mName)
    .AddFlag("checks-fencing", aRule.mChecksFencing)
    .Text();
}

std::string RenderBundle(const Bundle& aBundle)
{
  std::string text;
  for (const auto& it : SplitBundle(aBundle)) {
    text += it.mText;
  }
  return text;
}

} // namespace skylarkchute
