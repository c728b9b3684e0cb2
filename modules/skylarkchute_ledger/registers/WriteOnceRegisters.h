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

  /** Starts a write. Won is given only when this value is durable; Lost gives the durable value;
      after NotWritten nothing was and nothing will be written; after Unresolved the value may be
      or become durable.
      @param aTicket  given back with the outcome */
  RegisterOutput Write(std::uint64_t aTicket, const RegisterWrite& aWrite, TimePoint aNow)
  {
    return std::visit([&](auto& aStore) { return aStore.Write(aTicket, aWrite, aNow); }, mStore);
  }

  /** Starts a read of what is durable at some time after this call: Lost gives the value, Absent
      says that there is none, NotWritten that the store cannot be read. */
  RegisterOutput Read(std::uint64_t aTicket, const std::string& aKey, TimePoint aNow)
  {
    return std::visit([&](auto& aStore) { return aStore.Read(aTicket, aKey, aNow); }, mStore);
  }

  /** Takes in the outcome of one of the calls. */
  RegisterOutput OnReply(const ObjectReply& aReply, TimePoint aNow)
  {
    return std::visit([&](auto& aStore) { return aStore.OnReply(aReply, aNow); }, mStore);
  }

  /** Drives retries and time limits. */
  RegisterOutput Tick(TimePoint aNow, WallTime aWallNow)
  {
    return std::visit([&](auto& aStore) { return aStore.Tick(aNow, aWallNow); }, mStore);
  }

private:
  Store mStore;
};

} // namespace skylarkchute
