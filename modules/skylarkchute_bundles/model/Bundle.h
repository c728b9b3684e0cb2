#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Salted hash of a team key, written as `SALT:SHA256(SALT + KEY)` in hexadecimal. */
struct KeyHash
{
  std::string mSalt;
  std::string mSha256Hex;
};

/** A client team of the router, with its key hashes, permissions and fleet-wide limits. */
struct Team
{
  TeamName mName;
  std::vector<KeyHash> mKeyHashes;
  std::vector<ModelName> mModels;     /**< Models of which all versions are allowed. */
  std::vector<VersionId> mVersions;   /**< Single versions allowed in addition to mModels. */
  std::vector<ServiceName> mServices; /**< Services that the team may call. */
  double mRequestsPerSecond = 0;
  double mTokensPerSecond = 0;
  std::uint32_t mConcurrency = 0; /**< Limit of concurrent requests. */
  double mWeight = 1;
};

/** A model with its price and its expected quality. */
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
  std::string mLabel; /**< Version label that endpoints report when they serve it. */
  VersionState mState = VersionState::Active;
};

/** A request class with its priority and targets. */
struct RequestClass
{
  ClassName mName;
  std::uint32_t mPriority = 0; /**< Requests with a larger value are served first. */
  std::chrono::milliseconds mTargetLatency{ 0 };
  double mQualityTarget = 0; /**< Minimum share of answers rated good, 0 to 1. */
  bool mIdempotent = true;
  bool mHedged = false;
  std::optional<CascadeName> mCascade;
};

/** Models that may answer the same requests, ordered from cheapest to most expensive. */
struct Cascade
{
  CascadeName mName;
  std::vector<ModelName> mModels;
};

/** Thresholds beyond which a rolling version is bad compared with the version that it replaces. */
struct RollThresholds
{
  double mErrorRateIncrease = 0.02; /**< Absolute difference of error rates, 0 to 1. */
  double mLatencyRatio = 1.5;       /**< Ratio of mean latencies. */
  double mQualityDrop = 0.05;       /**< Absolute difference of the shares rated good, 0 to 1. */
};

/** The plan by which one version replaces another in stages. */
struct RollPlan
{
  RollName mName;
  VersionId mFrom;
  VersionId mTo;
  std::vector<double> mStagePercents;   /**< Traffic shares in per cent, increasing to 100. */
  std::chrono::milliseconds mHold{ 0 }; /**< Shortest duration of a stage. */
  std::uint32_t mEvidence = 0; /**< Fewest requests to the new version before a stage may end. */
  RollThresholds mThresholds;
};

/** A service that is not a model engine. */
struct Service
{
  ServiceName mName;
  bool mIdempotent = true;
  std::chrono::milliseconds mTimeout{ 0 };
};

/** Settings of one endpoint, or of all endpoints of a zone. */
struct EndpointRule
{
  std::string mName; /**< Endpoint id, or `*` for all endpoints of the zone. */
  ZoneName mZone;
  bool mChecksFencing = false;
};

/** How long write-once registers are kept. */
struct RetentionRules
{
  std::chrono::seconds mClaims{ 86400 };
  std::chrono::seconds mPins{ 86400 };
};

/** The contents of a bundle. ParseBundle and AssembleBundle return only checked bundles: names are
    unique and references resolve. */
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

  /** Return the entry with the given name, or null. */
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
