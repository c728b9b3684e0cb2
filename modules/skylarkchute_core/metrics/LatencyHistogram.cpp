#include "LatencyHistogram.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace skylarkchute {

namespace {

constexpr int kBinCount = 70;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 1'000'000.0;
constexpr double kMsPerSecond = 1000.0;
constexpr std::size_t kBarWidth = 40;

double Milliseconds(std::chrono::microseconds aLatency)
{
  return std::chrono::duration<double, std::milli>(aLatency).count();
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : mHistogram(boost::histogram::make_histogram(Axis(kBinCount, kMinMs, kMaxMs)))
{
}

void LatencyHistogram::Record(std::chrono::microseconds aLatency)
{
  // The last bin excludes its upper edge, so clamp slightly below it.
  mHistogram(std::clamp(Milliseconds(aLatency), kMinMs, kMaxMs * 0.999));
  ++mCount;
  mSum += aLatency;
}

std::chrono::microseconds LatencyHistogram::Quantile(double aQuantile) const
{
  const auto rank = aQuantile * static_cast<double>(mCount);
  double seen = 0;
  for (int n = 0; n < kBinCount && mCount > 0; ++n) {
    seen += mHistogram.at(n);
    if (seen >= rank && seen > 0) {
      const auto upperMs = mHistogram.axis().value(n + 1);
      return std::chrono::microseconds(static_cast<std::int64_t>(std::llround(upperMs * 1000.0)));
    }
  }
  return std::chrono::microseconds(0);
}

std::string LatencyHistogram::PrometheusText(const std::string& aName,
                                             const std::string& aLabels) const
{
  std::ostringstream out;
  const auto separator = aLabels.empty() ? "" : ",";
  double cumulative = 0;
  for (int n = 0; n < kBinCount; ++n) {
    cumulative += mHistogram.at(n);
    if (mHistogram.at(n) > 0) {
      out << aName << "_bucket{" << aLabels << separator << "le=\""
          << mHistogram.axis().value(n + 1) / kMsPerSecond << "\"} " << cumulative << "\n";
    }
  }
  out << aName << "_bucket{" << aLabels << separator << "le=\"+Inf\"} " << mCount << "\n";
  const auto braces = aLabels.empty() ? std::string() : "{" + aLabels + "}";
  out << aName << "_sum" << braces << " " << std::chrono::duration<double>(mSum).count() << "\n";
  out << aName << "_count" << braces << " " << mCount << "\n";
  return out.str();
}

std::string LatencyHistogram::RenderText() const
{
  double highest = 0;
  for (int n = 0; n < kBinCount; ++n) {
    highest = std::max(highest, static_cast<double>(mHistogram.at(n)));
  }
  std::ostringstream out;
  for (int n = 0; n < kBinCount; ++n) {
    const double count = mHistogram.at(n);
    if (count <= 0) {
      continue;
    }
    const auto width = static_cast<std::size_t>(std::ceil(count / highest * kBarWidth));
    out << std::setw(10) << std::fixed << std::setprecision(1) << mHistogram.axis().value(n + 1)
        << " ms " << std::string(width, '#') << " " << std::setprecision(0) << count << "\n";
  }
  return out.str();
}

} // namespace skylarkchute
