#include "LoadExchange.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <sstream>

namespace skylarkchute {

namespace {

/** Units in which pace and age are sent in one byte. A pace of zero stands for none. */
constexpr double kPaceUnit = 0.04;
constexpr std::chrono::milliseconds kAgeUnit{ 20 };

/** Bytes in a message: of a report in base 64, and of the field apart from the reports. */
constexpr double kEncodedReportBytes = 12;
constexpr double kFieldBytes = 16;

constexpr std::uint32_t kMaxByte = 255;
constexpr unsigned kByteBits = 8;
constexpr std::size_t kKeyBytes = 4;

/** Longer texts are ignored: no build sends more than kMaxReports in a message. */
constexpr std::size_t kMaxTextBytes = 8192;

void AppendReport(std::string& aBytes, const RelayedLoad& aReport)
{
  for (std::size_t n = 0; n < kKeyBytes; ++n) {
    aBytes.push_back(static_cast<char>((aReport.mKey >> (kByteBits * n)) & kMaxByte));
  }
  const auto& load = aReport.mLoad;
  const double pace = load.mPace ? std::max(1.0, std::round(*load.mPace / kPaceUnit)) : 0;
  aBytes.push_back(static_cast<char>(load.mRunning));
  aBytes.push_back(static_cast<char>(load.mWaiting));
  aBytes.push_back(static_cast<char>(load.mSlots));
  aBytes.push_back(static_cast<char>(std::min<std::uint32_t>(
    kMaxByte, static_cast<std::uint32_t>(std::min<double>(kMaxByte, pace)))));
  // Rounded up, so that a report that was passed on does not seem later than the original.
  const auto age = (aReport.mAge + kAgeUnit - std::chrono::milliseconds(1)) / kAgeUnit;
  aBytes.push_back(static_cast<char>(std::clamp<std::int64_t>(age, 0, kMaxByte)));
}

RelayedLoad ReadReport(const unsigned char* aBytes)
{
  RelayedLoad report;
  for (std::size_t n = 0; n < kKeyBytes; ++n) {
    report.mKey |= static_cast<std::uint32_t>(aBytes[n]) << (kByteBits * n);
  }
  const auto* rest = aBytes + kKeyBytes;
  report.mLoad = { rest[0], rest[1], rest[2] };
  if (rest[3] != 0) {
    report.mLoad.mPace = rest[3] * kPaceUnit;
  }
  report.mAge = rest[4] * kAgeUnit;
  return report;
}

bool FitsBytes(const ReportedLoad& aLoad)
{
  return std::max({ aLoad.mRunning, aLoad.mWaiting, aLoad.mSlots }) <= kMaxByte;
}

} // namespace

std::string EncodeLoads(const std::vector<RelayedLoad>& aReports)
{
  std::string bytes(1, static_cast<char>(LoadExchange::kReportBytes));
  for (const auto& it : aReports) {
    if (FitsBytes(it.mLoad)) {
      AppendReport(bytes, it);
    }
  }
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

std::vector<RelayedLoad> DecodeLoads(const std::string& aText)
{
  if (aText.empty() || aText.size() > kMaxTextBytes) {
    return {};
  }
  std::vector<unsigned char> bytes;
  try {
    std::istringstream in(aText);
    Poco::Base64Decoder decoder(in);
    for (auto it = decoder.get(); it != std::char_traits<char>::eof(); it = decoder.get()) {
      bytes.push_back(static_cast<unsigned char>(it));
    }
  } catch (const Poco::Exception&) {
    return {};
  }
  const std::size_t size = bytes.empty() ? 0 : bytes.front();
  if (size < LoadExchange::kReportBytes) {
    return {};
  }
  std::vector<RelayedLoad> reports;
  for (std::size_t n = 1; n + size <= bytes.size(); n += size) {
    reports.push_back(ReadReport(bytes.data() + n));
  }
  return reports;
}

LoadExchange::LoadExchange(FleetTable& aEndpoints) : mEndpoints(aEndpoints) {}

void LoadExchange::Fill(PeerExchange& aExchange, const KnownKinds* aKnown, TimePoint aNow)
{
  if (aKnown == nullptr) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - mRefilledAt).count();
  mAllowance = std::min(kBytesPerSecond, mAllowance + std::max(0.0, seconds) * kBytesPerSecond);
  mRefilledAt = aNow;
  const double room = std::max(0.0, mAllowance - kFieldBytes) / kEncodedReportBytes;
  const auto count = std::min(kMaxReports, static_cast<std::size_t>(room));
  aExchange.mLoads = LoadDigest::Take(mEndpoints, count, aNow);
  if (!aExchange.mLoads.empty()) {
    mAllowance -= kFieldBytes + kEncodedReportBytes * static_cast<double>(aExchange.mLoads.size());
  }
}

void LoadExchange::Apply(const PeerExchange& aExchange, TimePoint aNow)
{
  LoadDigest::Apply(mEndpoints, aExchange.mLoads, aNow);
}

} // namespace skylarkchute
