#pragma once

#include <json/json.h>

#include <iomanip>
#include <sstream>
#include <string>

namespace skylarkchute {

/** Builds one line of a text table with columns of fixed width. */
class TableRow
{
public:
  TableRow& Name(const std::string& aText) { return Column(aText, kNameWidth); }
  TableRow& Cell(const std::string& aText) { return Column(aText, kCellWidth); }

  TableRow& Number(const Json::Value& aValue)
  {
    std::ostringstream number;
    number << aValue.asDouble();
    return Cell(number.str());
  }

  std::string Line() const { return mOut.str() + "\n"; }

private:
  static constexpr int kNameWidth = 24;
  static constexpr int kCellWidth = 12;

  TableRow& Column(const std::string& aText, int aWidth)
  {
    mOut << std::left << std::setw(aWidth) << aText;
    return *this;
  }

  std::ostringstream mOut;
};

} // namespace skylarkchute
