#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <optional>
#include <string>
#include <utility>

namespace skylarkchute {

/** The value of a `leaf::result`, or the kind and message of its error. */
template<typename Value>
struct Outcome
{
  std::optional<Value> mValue;
  std::optional<LifecycleErrorKind> mKind;
  std::string mMessage;

  explicit operator bool() const { return mValue.has_value(); }
  const Value* operator->() const { return &*mValue; }
  const Value& operator*() const { return *mValue; }
};

/** Calls a function that returns a `leaf::result` and stores its value or error in an Outcome. */
template<typename Function>
auto CaptureResult(Function aFunction)
{
  using Value = std::decay_t<decltype(aFunction().value())>;
  Outcome<Value> outcome;
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_AUTO(value, aFunction());
      outcome.mValue = std::move(value);
      return {};
    },
    [&](const LifecycleError& aError) {
      outcome.mKind = aError.mKind;
      outcome.mMessage = aError.mMessage;
    },
    [&](const Faults& aFaults) { outcome.mMessage = aFaults.Text(); },
    [&] { outcome.mMessage = "an error without an error object"; });
  return outcome;
}

} // namespace skylarkchute
