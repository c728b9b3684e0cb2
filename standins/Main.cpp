#include "engine/EngineStandIn.h"
#include "platform/PlatformStandIn.h"
#include "rating/RatingStandIn.h"
#include "service/PlainServiceStandIn.h"
#include "users_platform/UsersEndpointStandIn.h"
#include "users_platform/UsersStoreStandIn.h"
#include "weights/WeightStoreStandIn.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <pthread.h>

namespace options = boost::program_options;
using namespace skylarkchute::standins;

namespace {

using Arguments = std::vector<std::string>;
using SubcommandFunction = std::function<int(const Arguments&)>;

/** Parses the arguments of a subcommand.
    @returns false after printing the help text, if `--help` is given
    @throws boost::program_options::error  if an argument is unknown, invalid or missing */
bool ParseArguments(const Arguments& aArguments,
                    const options::options_description& aDescription,
                    options::variables_map& aValues)
{
  options::store(options::command_line_parser(aArguments).options(aDescription).run(), aValues);
  options::notify(aValues);
  if (aValues.count("help") > 0) {
    std::cout << aDescription;
    return false;
  }
  return true;
}

/** Returns the options that every subcommand accepts.
    @param aPort  receives the value of `--port` */
options::options_description CommonOptions(const std::string& aTitle, std::uint16_t& aPort)
{
  options::options_description description(aTitle);
  description.add_options()("help", "show this text");
  description.add_options()("port",
                            options::value(&aPort)->default_value(0),
                            "TCP port on the loopback address; 0 selects a free port");
  return description;
}

/** Prints the listening address and waits for SIGTERM or SIGINT. @returns the exit code, 0 */
int WaitForSignal(std::uint16_t aPort)
{
  std::cout << "listening 127.0.0.1:" << aPort << std::endl;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}

/** Blocks SIGTERM and SIGINT, so that only WaitForSignal() receives them. Threads inherit the mask,
    so this is called before the first one starts. */
void BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int RunEngine(const Arguments& aArguments)
{
  EngineStandIn::Options engine;
  std::int64_t wordUs = engine.mWordTime.count();
  std::int64_t promptUs = engine.mPromptTokenTime.count();
  std::int64_t loadMs = engine.mLoadTime.count();
  auto description = CommonOptions("engine", engine.mPort);
  auto add = description.add_options();
  add(
    "label", options::value(&engine.mLabels)->composing(), "label of a hosted version, repeatable");
  add("slots",
      options::value(&engine.mSlots)->default_value(engine.mSlots),
      "maximum requests running at once");
  add("queue",
      options::value(&engine.mMaxQueued)->default_value(engine.mMaxQueued),
      "maximum requests waiting for a slot");
  add("words",
      options::value(&engine.mWords)->default_value(engine.mWords),
      "default answer length in words");
  add("word-us", options::value(&wordUs)->default_value(wordUs), "microseconds per word");
  add("prompt-us",
      options::value(&promptUs)->default_value(promptUs),
      "microseconds per uncached prompt token");
  add("load-ms", options::value(&loadMs)->default_value(loadMs), "milliseconds to load a version");
  add("quality",
      options::value(&engine.mQuality)->default_value(1.0),
      "share of good answers, 0 to 1");
  add("fencing",
      options::value(&engine.mChecksFencing)->default_value(true),
      "refuse orders with an outdated fencing number");
  options::variables_map values;
  if (!ParseArguments(aArguments, description, values)) {
    return 0;
  }
  engine.mWordTime = std::chrono::microseconds(wordUs);
  engine.mPromptTokenTime = std::chrono::microseconds(promptUs);
  engine.mLoadTime = std::chrono::milliseconds(loadMs);
  const EngineStandIn standIn(engine);
  return WaitForSignal(standIn.Port());
}

int RunService(const Arguments& aArguments)
{
  PlainServiceStandIn::Options service;
  options::variables_map values;
  if (!ParseArguments(aArguments, CommonOptions("service", service.mPort), values)) {
    return 0;
  }
  const PlainServiceStandIn standIn(service);
  return WaitForSignal(standIn.Port());
}

int RunRating(const Arguments& aArguments)
{
  std::uint16_t port = 0;
  options::variables_map values;
  if (!ParseArguments(aArguments, CommonOptions("rating", port), values)) {
    return 0;
  }
  const RatingStandIn standIn(port);
  return WaitForSignal(standIn.Port());
}

int RunWeights(const Arguments& aArguments)
{
  WeightStoreStandIn::Options weights;
  auto description = CommonOptions("weights", weights.mPort);
  description.add_options()(
    "rate", options::value(&weights.mLoadsPerSecond)->default_value(4), "weight loads per second");
  options::variables_map values;
  if (!ParseArguments(aArguments, description, values)) {
    return 0;
  }
  const WeightStoreStandIn standIn(weights);
  return WaitForSignal(standIn.Port());
}

int RunPlatform(const Arguments& aArguments)
{
  std::uint16_t port = 0;
  options::variables_map values;
  if (!ParseArguments(aArguments, CommonOptions("platform", port), values)) {
    return 0;
  }
  const PlatformStandIn standIn(port);
  return WaitForSignal(standIn.Port());
}

int RunUsersStore(const Arguments& aArguments)
{
  UsersStoreStandIn::Options store;
  options::variables_map values;
  auto description = CommonOptions("users-store", store.mPort);
  description.add_options()("also-port",
                            options::value(&store.mMorePorts)->composing(),
                            "further port to serve on; one for each");
  if (!ParseArguments(aArguments, description, values)) {
    return 0;
  }
  const UsersStoreStandIn standIn(store);
  return WaitForSignal(standIn.Port());
}

int RunUsersEndpoint(const Arguments& aArguments)
{
  UsersEndpointStandIn::Options endpoint;
  auto eventMs = endpoint.mEventTime.count();
  auto drainMs = endpoint.mDrainTime.count();
  auto warmupMs = endpoint.mWarmup.count();
  auto idleMs = endpoint.mIdleTimeout.count();
  auto description = CommonOptions("users-endpoint", endpoint.mPort);
  auto add = description.add_options();
  add("store", options::value(&endpoint.mStorePort)->required(), "TCP port of the store");
  add("id", options::value(&endpoint.mId)->required(), "name of its entry in the store");
  add("service",
      options::value(&endpoint.mService)->required(),
      "service that the endpoint belongs to");
  add("zone", options::value(&endpoint.mZone)->required(), "availability zone");
  add("version", options::value(&endpoint.mVersion)->default_value(endpoint.mVersion), "version");
  add("slots",
      options::value(&endpoint.mSlots)->default_value(endpoint.mSlots),
      "maximum requests running at once");
  add("events",
      options::value(&endpoint.mEvents)->default_value(endpoint.mEvents),
      "maximum events per stream");
  add("event-ms", options::value(&eventMs)->default_value(eventMs), "milliseconds between events");
  add("drain-ms",
      options::value(&drainMs)->default_value(drainMs),
      "milliseconds to go on serving while draining");
  add("warmup-ms",
      options::value(&warmupMs)->default_value(warmupMs),
      "milliseconds for which it is cold after its start");
  add("idle-ms",
      options::value(&idleMs)->default_value(idleMs),
      "milliseconds after which it closes idle connections");
  add("cold-per-s",
      options::value(&endpoint.mColdRate)->default_value(endpoint.mColdRate),
      "requests per second that it takes while cold; 0 for no limit");
  add("record-file",
      options::value(&endpoint.mRecordFile)->default_value(""),
      "file to which each run is appended as a JSON line");
  options::variables_map values;
  if (!ParseArguments(aArguments, description, values)) {
    return 0;
  }
  endpoint.mEventTime = std::chrono::milliseconds(eventMs);
  endpoint.mDrainTime = std::chrono::milliseconds(drainMs);
  endpoint.mWarmup = std::chrono::milliseconds(warmupMs);
  endpoint.mIdleTimeout = std::chrono::milliseconds(idleMs);
  const UsersEndpointStandIn standIn(endpoint);
  return WaitForSignal(standIn.Port());
}

struct Subcommand
{
  std::string mName;
  SubcommandFunction mRun;
};

/** Returns every subcommand in the order of the usage text. */
const std::vector<Subcommand>& Subcommands()
{
  static const std::vector<Subcommand> commands{
    { "platform", RunPlatform },
    { "engine", RunEngine },
    { "service", RunService },
    { "rating", RunRating },
    { "weights", RunWeights },
    { "users-store", RunUsersStore },
    { "users-endpoint", RunUsersEndpoint },
  };
  return commands;
}

/** Runs the subcommand named by the first argument.
    @returns its exit code; 2, after printing the usage, if the name is missing or unknown */
int RunSubcommand(const Arguments& aArguments)
{
  for (const auto& it : Subcommands()) {
    if (!aArguments.empty() && it.mName == aArguments.front()) {
      return it.mRun({ aArguments.begin() + 1, aArguments.end() });
    }
  }
  std::cerr << "usage: skylarkchute-standins COMMAND [OPTIONS]\ncommands:";
  for (const auto& it : Subcommands()) {
    std::cerr << " " << it.mName;
  }
  std::cerr << "\n";
  return 2;
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  BlockSignals();
  try {
    return RunSubcommand({ aArguments + 1, aArguments + aArgumentCount });
  } catch (const std::exception& error) {
    std::cerr << "skylarkchute-standins: " << error.what() << "\n";
    return 2;
  }
}
