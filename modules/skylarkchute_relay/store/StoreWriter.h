#pragma once

#include "../net/HttpCall.h"

#include <platform/StoreCodec.h>

#include <map>

namespace skylarkchute {

/** Makes the conditional writes of this instance, one at a time for each object. Every one is safe
    to repeat: its condition fails if an earlier try was carried out. */
class StoreWriter
{
public:
  using Done = std::function<void(const CallResult&)>;

  StoreWriter(boost::asio::io_context& aContext, std::string aAddress);

  /** Writes unless a write to the same target is under way.
      @returns whether it was begun */
  bool Write(const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aBody,
             Done aDone);

private:
  boost::asio::io_context& mContext;
  std::string mAddress;
  std::map<std::string, std::shared_ptr<HttpCall>> mCalls;
};

} // namespace skylarkchute
