#pragma once

#include <json/json.h>

#include <string>

namespace skylarkchute {

/** Fills in a template as the users' platform does: `{{a.b}}` gives a value, lists are joined by
    commas, and a section `{{#a}} .. {{/a}}` is rendered once for each entry of a table, in which
    `{{.}}` is the entry and `{{@}}` its key, or once if there is any other value. Sections do not
    nest. */
class PlatformTemplate
{
public:
  explicit PlatformTemplate(std::string aText) : mText(std::move(aText)) {}

  std::string Render(const Json::Value& aFields) const
  {
    std::string out;
    std::size_t at = 0;
    while (true) {
      const auto open = mText.find("{{#", at);
      out += RenderValues(mText.substr(at, open - at), aFields, {});
      if (open == std::string::npos) {
        return out;
      }
      const auto name = NameAt(open + 3);
      const auto begin = open + 3 + name.size() + 2;
      const auto close = mText.find("{{/" + name + "}}", begin);
      out += RenderSection(mText.substr(begin, close - begin), aFields, ValueOf(aFields, name));
      at = close + 3 + name.size() + 2;
    }
  }

private:
  std::string NameAt(std::size_t aBegin) const
  {
    return mText.substr(aBegin, mText.find("}}", aBegin) - aBegin);
  }

  static const Json::Value& ValueOf(const Json::Value& aFields, const std::string& aName)
  {
    static const Json::Value kNone;
    const auto dot = aName.find('.');
    const auto head = aName.substr(0, dot);
    const auto* value = &kNone;
    if (aFields.isObject()) {
      value = &aFields[head];
    } else if (aFields.isArray()) {
      value = &aFields[static_cast<Json::ArrayIndex>(std::stoul(head))];
    }
    return dot == std::string::npos ? *value : ValueOf(*value, aName.substr(dot + 1));
  }

  static std::string TextOf(const Json::Value& aValue)
  {
    if (!aValue.isArray()) {
      return aValue.asString();
    }
    std::string text;
    for (const auto& it : aValue) {
      text += (text.empty() ? "" : ",") + it.asString();
    }
    return text;
  }

  static std::string RenderSection(const std::string& aText,
                                   const Json::Value& aFields,
                                   const Json::Value& aValue)
  {
    std::string out;
    if (aValue.isObject()) {
      for (const auto& it : aValue.getMemberNames()) {
        out += RenderValues(aText, aFields, { &aValue[it], it });
      }
    } else if (!aValue.isNull() && aValue != Json::Value(false)) {
      out = RenderValues(aText, aFields, {});
    }
    return out;
  }

  struct Entry
  {
    const Json::Value* mValue = nullptr;
    std::string mKey;
  };

  static std::string RenderValues(const std::string& aText,
                                  const Json::Value& aFields,
                                  const Entry& aEntry)
  {
    std::string out;
    std::size_t at = 0;
    while (true) {
      const auto open = aText.find("{{", at);
      out += aText.substr(at, open - at);
      if (open == std::string::npos) {
        return out;
      }
      const auto close = aText.find("}}", open);
      const auto name = aText.substr(open + 2, close - open - 2);
      if (name == "@") {
        out += aEntry.mKey;
      } else {
        out += TextOf(name == "." ? *aEntry.mValue : ValueOf(aFields, name));
      }
      at = close + 2;
    }
  }

  std::string mText;
};

} // namespace skylarkchute
