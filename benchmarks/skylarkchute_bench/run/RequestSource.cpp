#include "RequestSource.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>

namespace skylarkchute {

namespace {

constexpr double kContinueSessionProbability = 0.7;
constexpr std::size_t kPrefixesPerClass = 40;
constexpr double kFloodFactor = 10;
constexpr std::chrono::seconds kDeadlineSlack{ 5 };
constexpr double kMicrosecondsPerSecond = 1e6;
/** Standard deviation of the logarithm of the length. Keeps the ratio of the slowest decile's
    length to the mean near 3. */
constexpr double kLengthSpread = 0.5;

double Draw(boost::random::mt19937_64& aRandom)
{
  return boost::random::uniform_01<double>()(aRandom);
}

std::uint32_t DrawLength(boost::random::mt19937_64& aRandom, std::uint32_t aMean)
{
  const double normal = Draw(aRandom) + Draw(aRandom) + Draw(aRandom) + Draw(aRandom) - 2;
  const double factor = std::exp(kLengthSpread * normal * std::sqrt(3.0));
  return std::max(1U, static_cast<std::uint32_t>(aMean * factor));
}

} // namespace

RequestSource::RequestSource(const Workload& aWorkload, const RunOptions& aOptions)
  : mWorkload(aWorkload)
  , mOptions(aOptions)
{
  for (std::size_t n = 0; n < mWorkload.mClasses.size(); ++n) {
    ClassStream stream;
    stream.mRandom.seed(StableHash(mWorkload.mClasses[n].mClass.Value(), aOptions.mSeed));
    mStreams.push_back(std::move(stream));
    Advance(mStreams.back(), mWorkload.mClasses[n]);
  }
}

std::chrono::microseconds RequestSource::NextArrival() const
{
  return mStreams[NextStream()].mNext;
}

GeneratedRequest RequestSource::Next(TimePoint aStart)
{
  const auto index = NextStream();
  auto& stream = mStreams[index];
  const auto& load = mWorkload.mClasses[index];
  const auto& requestClass = *mWorkload.mBundle->FindClass(load.mClass);
  const auto& team = DrawTeam(stream, stream.mNext);

  GeneratedRequest request;
  auto& record = request.mRecord;
  record.mNumber = mNextNumber++;
  record.mClass = load.mClass;
  record.mTeam = team.mTeam;
  record.mArrival = stream.mNext;
  record.mInstance = static_cast<std::size_t>(Draw(stream.mRandom) * 1e6) % mWorkload.mInstances;
  request.mCompletionTokens = DrawLength(stream.mRandom, load.mCompletionTokens);

  auto& facts = request.mFacts;
  facts.mId = RequestId("r" + std::to_string(record.mNumber));
  facts.mApiKey = team.mApiKey;
  facts.mService = load.mService;
  facts.mClass = load.mClass;
  facts.mKey = RequestKey(facts.mId.Value());
  facts.mStream = load.mStream;
  facts.mPromptTokens = DrawLength(stream.mRandom, load.mPromptTokens);
  facts.mMaxTokens = 2 * request.mCompletionTokens;
  record.mTokens = facts.mPromptTokens + request.mCompletionTokens;
  const auto prefix = static_cast<std::size_t>(Draw(stream.mRandom) * kPrefixesPerClass);
  facts.mPrefixHash = load.mClass.Value() + "-" + std::to_string(prefix);
  facts.mFingerprint = Fingerprint("f" + std::to_string(record.mNumber));
  const auto timeout = 2 * requestClass.mTargetLatency + kDeadlineSlack;
  facts.mDeadline = aStart + stream.mNext + timeout;
  if (load.mSessions) {
    record.mSession = DrawSession(stream, team.mTeam);
    facts.mPrefixHash = "session-" + std::to_string(*record.mSession);
  }
  Advance(stream, load);
  return request;
}

std::size_t RequestSource::NextStream() const
{
  const auto it =
    std::min_element(mStreams.begin(), mStreams.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mNext < aRight.mNext;
    });
  return static_cast<std::size_t>(it - mStreams.begin());
}

const TeamLoad& RequestSource::DrawTeam(ClassStream& aStream, std::chrono::microseconds aArrival)
{
  const bool flood = mOptions.mFaults.IsActive(FaultKind::Flood, aArrival);
  double total = 0;
  const auto weight = [&](std::size_t aIndex) {
    return mWorkload.mTeams[aIndex].mWeight * (flood && aIndex == 2 ? kFloodFactor : 1);
  };
  for (std::size_t n = 0; n < mWorkload.mTeams.size(); ++n) {
    total += weight(n);
  }
  double draw = Draw(aStream.mRandom) * total;
  for (std::size_t n = 0; n < mWorkload.mTeams.size(); ++n) {
    draw -= weight(n);
    if (draw < 0) {
      return mWorkload.mTeams[n];
    }
  }
  return mWorkload.mTeams.back();
}

std::size_t RequestSource::DrawSession(ClassStream& aStream, const TeamName& aTeam)
{
  const bool continues = Draw(aStream.mRandom) < kContinueSessionProbability;
  const auto open = aStream.mOpenSessions.find(aTeam);
  if (continues && open != aStream.mOpenSessions.end()) {
    return open->second;
  }
  return aStream.mOpenSessions[aTeam] = mNextSession++;
}

void RequestSource::Advance(ClassStream& aStream, const ClassLoad& aLoad)
{
  double rate = aLoad.mRequestsPerSecond;
  if (mOptions.mFaults.IsActive(FaultKind::Flood, aStream.mNext)) {
    rate *= 1 + (kFloodFactor - 1) * mWorkload.mTeams[2].mWeight;
  }
  const double interarrivalSeconds = -std::log(1 - Draw(aStream.mRandom)) / rate;
  aStream.mNext += std::chrono::microseconds(
    static_cast<std::int64_t>(interarrivalSeconds * kMicrosecondsPerSecond));
}

} // namespace skylarkchute
