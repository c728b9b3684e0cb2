#pragma once

#include "ObjectPerRegister.h"
#include "ShardedRegisters.h"

#include <variant>

namespace skylarkchute {

/** Write-once registers: the first value written under a key stays until it expires.

    Safe with any number of writers on any number of instances; every write is conditional. Call
    Tick every 10 to 100 ms. */
class WriteOnceRegisters
{
public:
  using Store = std::variant<ObjectPerRegister, ShardedRegisters>;

  explicit WriteOnceRegisters(Store aStore) : mStore(std::move(aStore)) {}

  /** Starts a write. Won means that this value is durable; Lost that another value is, which the
      outcome contains; NotWritten that the value was not and will not be written; Unresolved that
      it may be or become durable.
      @param aOperationId  correlation id, returned in the outcome */
  RegisterOutput Write(std::uint64_t aOperationId, const RegisterWrite& aWrite, TimePoint aNow)
  {
    return std::visit([&](auto& aStore) { return aStore.Write(aOperationId, aWrite, aNow); },
                      mStore);
  }

  /** Starts a read of the value that is durable at some time after this call. The outcome is Lost
      with the value, Absent when there is none, or NotWritten when the store cannot be read. */
  RegisterOutput Read(std::uint64_t aOperationId, const std::string& aKey, TimePoint aNow)
  {
    return std::visit([&](auto& aStore) { return aStore.Read(aOperationId, aKey, aNow); }, mStore);
  }

  /** Handles the reply to one of the calls. */
  RegisterOutput OnReply(const ObjectReply& aReply, TimePoint aNow)
  {
    return std::visit([&](auto& aStore) { return aStore.OnReply(aReply, aNow); }, mStore);
  }

  /** Runs due retries and ends operations that have timed out. */
  RegisterOutput Tick(TimePoint aNow, WallTime aWallNow)
  {
    return std::visit([&](auto& aStore) { return aStore.Tick(aNow, aWallNow); }, mStore);
  }

private:
  Store mStore;
};

} // namespace skylarkchute
