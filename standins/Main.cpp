#include "engine/EngineStandIn.h"
#include "platform/PlatformStandin.h"
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
using Command = std::function<int(const Arguments&)>;

/** Parses a subcommand's arguments; prints help and returns false when asked to. */
bool Parse(const Arguments& aArguments,
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

options::options_description Common(const std::string& aTitle, std::uint16_t& aPort)
{
  options::options_description description(aTitle);
  description.add_options()("help", "show this text");
  description.add_options()("port",
                            options::value(&aPort)->default_value(0),
                            "TCP port on the loopback address; 0 takes any free one");
  return description;
}

/** Prints the port and waits until the process is told to end. */
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

/** Keeps the ending signals for WaitForSignal, in every thread. */
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
  auto description = Common("engine", engine.mPort);
  auto add = description.add_options();
  add("label", options::value(&engine.mLabels)->composing(), "version hosted, repeatable");
  add("slots", options::value(&engine.mSlots)->default_value(engine.mSlots), "requests at once");
  add("queue", options::value(&engine.mMaxQueued)->default_value(engine.mMaxQueued), "waiting");
  add("words", options::value(&engine.mWords)->default_value(engine.mWords), "answer length");
  add("word-us", options::value(&wordUs)->default_value(wordUs), "microseconds a word");
  add("prompt-us", options::value(&promptUs)->default_value(promptUs), "microseconds a token");
  add("load-ms", options::value(&loadMs)->default_value(loadMs), "milliseconds to load a version");
  add("quality", options::value(&engine.mQuality)->default_value(1.0), "share of good answers");
  add("fencing",
      options::value(&engine.mChecksFencing)->default_value(true),
      "refuse orders with an old fencing number");
  options::variables_map values;
  if (!Parse(aArguments, description, values)) {
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
  if (!Parse(aArguments, Common("service", service.mPort), values)) {
    return 0;
  }
  const PlainServiceStandIn standIn(service);
  return WaitForSignal(standIn.Port());
}

int RunRating(const Arguments& aArguments)
{
  std::uint16_t port = 0;
  options::variables_map values;
  if (!Parse(aArguments, Common("rating", port), values)) {
    return 0;
  }
  const RatingStandIn standIn(port);
  return WaitForSignal(standIn.Port());
}

int RunWeights(const Arguments& aArguments)
{
  WeightStoreStandIn::Options weights;
  auto description = Common("weights", weights.mPort);
  description.add_options()(
    "rate", options::value(&weights.mLoadsPerSecond)->default_value(4), "loads a second");
  options::variables_map values;
  if (!Parse(aArguments, description, values)) {
    return 0;
  }
  const WeightStoreStandIn standIn(weights);
  return WaitForSignal(standIn.Port());
}

int RunPlatform(const Arguments& aArguments)
{
  std::uint16_t port = 0;
  options::variables_map values;
  if (!Parse(aArguments, Common("platform", port), values)) {
    return 0;
  }
  const PlatformStandin standIn(port);
  return WaitForSignal(standIn.Port());
}

int RunUsersStore(const Arguments& aArguments)
{
  UsersStoreStandIn::Options store;
  options::variables_map values;
  if (!Parse(aArguments, Common("users-store", store.mPort), values)) {
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
  auto description = Common("users-endpoint", endpoint.mPort);
  auto add = description.add_options();
  add("store", options::value(&endpoint.mStorePort)->required(), "port of the store");
  add("id", options::value(&endpoint.mId)->required(), "name of its entry");
  add("service", options::value(&endpoint.mService)->required(), "service that it is of");
  add("zone", options::value(&endpoint.mZone)->required(), "availability zone");
  add("version", options::value(&endpoint.mVersion)->default_value(endpoint.mVersion), "version");
  add(
    "slots", options::value(&endpoint.mSlots)->default_value(endpoint.mSlots), "requests at once");
  add("events", options::value(&endpoint.mEvents)->default_value(endpoint.mEvents), "of a stream");
  add("event-ms", options::value(&eventMs)->default_value(eventMs), "milliseconds between events");
  add("drain-ms", options::value(&drainMs)->default_value(drainMs), "milliseconds served on");
  options::variables_map values;
  if (!Parse(aArguments, description, values)) {
    return 0;
  }
  endpoint.mEventTime = std::chrono::milliseconds(eventMs);
  endpoint.mDrainTime = std::chrono::milliseconds(drainMs);
  const UsersEndpointStandIn standIn(endpoint);
  return WaitForSignal(standIn.Port());
}

struct NamedCommand
{
  std::string mName;
  Command mRun;
};

/** Every subcommand; a further stand-in needs one line here. */
const std::vector<NamedCommand>& Commands()
{
  static const std::vector<NamedCommand> commands{
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

int RunNamed(const Arguments& aArguments)
{
  for (const auto& it : Commands()) {
    if (!aArguments.empty() && it.mName == aArguments.front()) {
      return it.mRun({ aArguments.begin() + 1, aArguments.end() });
    }
  }
  std::cerr << "usage: skylarkchute-standins COMMAND [OPTIONS]\ncommands:";
  for (const auto& it : Commands()) {
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
    return RunNamed({ aArguments + 1, aArguments + aArgumentCount });
  } catch (const std::exception& error) {
    std::cerr << "skylarkchute-standins: " << error.what() << "\n";
    return 2;
  }
}
