#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Salted hash of a team key: `SALT:SHA256(SALT + KEY)` in hexadecimal. */
struct KeyHash
{
  std::string mSalt;
  std::string mSha256Hex;
};

/** A customer of the router, with its key hashes, permissions and fleet-wide limits. */
struct Team
{
  TeamName mName;
  std::vector<KeyHash> mKeyHashes;
  std::vector<ModelName> mModels;     /**< Every version of these models is allowed. */
  std::vector<VersionId> mVersions;   /**< Allowed besides the models above. */
  std::vector<ServiceName> mServices; /**< Plain services that the team may call. */
  double mRequestsPerSecond = 0;
  double mTokensPerSecond = 0;
  std::uint32_t mConcurrency = 0;
  double mWeight = 1;
};

/** A model with its price and its quality as known beforehand. */
struct Model
{
  ModelName mName;
  double mPricePerThousandTokens = 0;
  double mQuality = 0; /**< Expected rating, 0 to 1. */
};

enum class VersionState
{
  Active,
  Rolling,
  Withdrawn,
};

/** One version of a model. */
struct ModelVersion
{
  VersionId mId;
  ModelName mModel;
  std::string mLabel; /**< What endpoints report when they host it. */
  VersionState mState = VersionState::Active;
};

/** A class of requests with its targets. */
struct RequestClass
{
  ClassName mName;
  std::uint32_t mPriority = 0; /**< Larger is served first. */
  std::chrono::milliseconds mTargetLatency{ 0 };
  double mQualityTarget = 0; /**< Least share of answers rated good, 0 to 1. */
  bool mIdempotent = true;
  bool mHedged = false;
  std::optional<CascadeName> mCascade;
};

/** Models that may answer for each other, cheapest first. */
struct Cascade
{
  CascadeName mName;
  std::vector<ModelName> mModels;
};

/** When a rolling version counts as bad against the version that it replaces. */
struct RollGates
{
  double mErrorRateIncrease = 0.02; /**< Absolute. */
  double mLatencyRatio = 1.5;       /**< Of mean latency. */
  double mQualityDrop = 0.05;       /**< Absolute, of the share rated good. */
};

/** How a version replaces another. */
struct RollPlan
{
  RollName mName;
  VersionId mFrom;
  VersionId mTo;
  std::vector<double> mStagePercents; /**< Rising, the last one is 100. */
  std::chrono::milliseconds mHold{ 0 };
  std::uint32_t mEvidence = 0; /**< Requests seen on the new version before a stage may end. */
  RollGates mGates;
};

/** A plain service beside the model engines. */
struct Service
{
  ServiceName mName;
  bool mIdempotent = true;
  std::chrono::milliseconds mTimeout{ 0 };
};

/** What the bundle says of the endpoints of one zone. */
struct EndpointRule
{
  std::string mName; /**< Endpoint id, or `*` for every endpoint of the zone. */
  ZoneName mZone;
  bool mChecksFencing = false;
};

/** Retention of write-once registers. */
struct RetentionRules
{
  std::chrono::seconds mClaims{ 86400 };
  std::chrono::seconds mPins{ 86400 };
};

/** A whole accepted or proposed bundle. Checked: names are unique and every reference resolves. */
struct Bundle
{
  std::string mTitle;
  RetentionRules mRetention;
  std::vector<Team> mTeams;
  std::vector<Model> mModels;
  std::vector<ModelVersion> mVersions;
  std::vector<RequestClass> mClasses;
  std::vector<Cascade> mCascades;
  std::vector<RollPlan> mRolls;
  std::vector<Service> mServices;
  std::vector<EndpointRule> mEndpointRules;

  /** Return the entry of that name, or null. */
  const Team* FindTeam(const TeamName& aName) const;
  const Model* FindModel(const ModelName& aName) const;
  const ModelVersion* FindVersion(const VersionId& aId) const;
  const RequestClass* FindClass(const ClassName& aName) const;
  const Cascade* FindCascade(const CascadeName& aName) const;
  const Service* FindService(const ServiceName& aName) const;

  /** Returns whether @p aTeam may use @p aVersion; withdrawn versions are never allowed. */
  bool Allows(const Team& aTeam, const ModelVersion& aVersion) const;
};

} // namespace skylarkchute
