#pragma once

#include "../net/HttpCall.h"

#include <platform/StoreCodec.h>

#include <map>

namespace skylarkchute {

/** Makes the conditional writes of this instance to the store, one at a time per target. Each write
    is safe to retry: its condition fails if an earlier attempt was carried out. */
class StoreWriter
{
public:
  using Done = std::function<void(const CallResult&)>;

  StoreWriter(boost::asio::io_context& aContext, std::string aAddress);

  /** Starts a write unless one to the same target is in progress.
      @returns whether the write was started; if not, @p aDone is not called */
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
