#pragma once

#include <string>

namespace skylarkchute {

/** Returns a small valid bundle: two teams, a cheap and an expensive model, a roll, two services.
    @param aTitle  title in the `[bundle]` section; makes bundles distinguishable */
inline std::string SmallBundleText(const std::string& aTitle = "small")
{
  return "[bundle]\ntitle = " + aTitle + R"(
[team dispatch]
keys = 00112233445566778899aabb:e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855
models = small, large
services = orders
requests-per-second = 20
tokens-per-second = 5000
concurrency = 50
weight = 2

[team police]
keys = ffeeddccbbaa99887766aabb:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad
versions = small/1
services = status
requests-per-second = 10.5
tokens-per-second = 1000
concurrency = 10

[model small]
price-per-thousand-tokens = 0.2
quality = 0.8

[model large]
price-per-thousand-tokens = 1.6
quality = 0.95

[version small/1]
state = active
label = small-1

[version small/2]
state = rolling

[version large/1]
state = active

[class chat]
priority = 50
target-latency = 3s
quality-target = 0.9
cascade = notes

[class order]
priority = 90
target-latency = 250ms
idempotent = false

[cascade notes]
models = small, large

[roll small-2]
from = small/1
to = small/2
stages = 5, 50, 100
hold = 10s
evidence = 100

[service orders]
idempotent = false
timeout = 5s

[service status]
timeout = 500ms

[endpoint north/*]
checks-fencing = true
)";
}

/** Returns @p aText with the first @p aFrom replaced by @p aTo. */
inline std::string Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const auto at = aText.find(aFrom);
  return at == std::string::npos ? aText : aText.replace(at, aFrom.size(), aTo);
}

} // namespace skylarkchute
