#include "MetricsRegistry.h"

#include <sstream>

namespace skylarkchute {

void MetricsRegistry::Add(const std::string& aName, const std::string& aLabels, double aAmount)
{
  const std::lock_guard lock(mMutex);
  mValues[{ aName, aLabels }] += aAmount;
}

void MetricsRegistry::Set(const std::string& aName, const std::string& aLabels, double aValue)
{
  const std::lock_guard lock(mMutex);
  mValues[{ aName, aLabels }] = aValue;
}

void MetricsRegistry::Record(const std::string& aName,
                             const std::string& aLabels,
                             std::chrono::microseconds aLatency)
{
  const std::lock_guard lock(mMutex);
  mHistograms[{ aName, aLabels }].Record(aLatency);
}

double MetricsRegistry::Value(const std::string& aName, const std::string& aLabels) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mValues.find({ aName, aLabels });
  return it == mValues.end() ? 0 : it->second;
}

LatencyHistogram MetricsRegistry::Histogram(const std::string& aName,
                                            const std::string& aLabels) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mHistograms.find({ aName, aLabels });
  return it == mHistograms.end() ? LatencyHistogram() : it->second;
}

std::vector<std::string> MetricsRegistry::HistogramLabels(const std::string& aName) const
{
  const std::lock_guard lock(mMutex);
  std::vector<std::string> labels;
  for (const auto& [key, histogram] : mHistograms) {
    if (key.mName == aName) {
      labels.push_back(key.mLabels);
    }
  }
  return labels;
}

std::string MetricsRegistry::PrometheusText() const
{
  const std::lock_guard lock(mMutex);
  std::ostringstream out;
  for (const auto& [key, value] : mValues) {
    out << key.mName;
    if (!key.mLabels.empty()) {
      out << "{" << key.mLabels << "}";
    }
    out << " " << value << "\n";
  }
  for (const auto& [key, histogram] : mHistograms) {
    out << histogram.PrometheusText(key.mName, key.mLabels);
  }
  return out.str();
}

} // namespace skylarkchute
