#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace skylarkchute {

/** A string identifier with its own type for each kind, so that kinds cannot be mixed up. */
template<typename Tag>
class Identifier
{
public:
  Identifier() = default;

  explicit Identifier(std::string aValue) : mValue(std::move(aValue)) {}

  /** Returns the text of the identifier. */
  const std::string& Value() const { return mValue; }

  /** Returns whether the text is empty. */
  bool IsEmpty() const { return mValue.empty(); }

  friend bool operator==(const Identifier&, const Identifier&) = default;
  friend std::strong_ordering operator<=>(const Identifier&, const Identifier&) = default;

private:
  std::string mValue;
};

} // namespace skylarkchute

template<typename Tag>
struct std::hash<skylarkchute::Identifier<Tag>>
{
  std::size_t operator()(const skylarkchute::Identifier<Tag>& aIdentifier) const noexcept
  {
    return std::hash<std::string>{}(aIdentifier.Value());
  }
};
