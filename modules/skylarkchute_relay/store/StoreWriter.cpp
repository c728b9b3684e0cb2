#include "StoreWriter.h"

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kWriteTimeout{ 1500 };

} // namespace

StoreWriter::StoreWriter(boost::asio::io_context& aContext, std::string aAddress)
  : mContext(aContext)
  , mAddress(std::move(aAddress))
{
}

bool StoreWriter::Write(const std::string& aMethod,
                        const std::string& aTarget,
                        const std::string& aBody,
                        Done aDone)
{
  auto& call = mCalls[aTarget];
  if (call && call->IsBusy()) {
    return false;
  }
  if (!call) {
    call = std::make_shared<HttpCall>(mContext, mAddress);
  }
  call->Start(aMethod, aTarget, aBody, kWriteTimeout, std::move(aDone));
  return true;
}

} // namespace skylarkchute
