#pragma once

#include "../LedgerTypes.h"

namespace skylarkchute {

/** The newest registers of one shard, to which writes are added.

    Stored under `registers/SHARD/head`, which is never deleted and is changed only by conditional
    update. Sealed segments have the same format. */
struct ShardHead
{
  /** Number of the oldest sealed segment in use; older ones may be removed. */
  std::uint64_t mFirst = 0;
  std::uint64_t mNumber = 0; /**< Number of the segment to which these registers are copied. */
  /** No more registers may be added. They are copied to segment mNumber, then the head continues
      empty under the next number. */
  bool mSealed = false;
  std::vector<RegisterWrite> mRegisters;
};

/** Returns the JSON text of one register, as ObjectPerRegister stores it. */
std::string EncodeRegister(const RegisterWrite& aRegister);

/** Returns the decoded register, or nothing when the text is invalid. */
std::optional<RegisterWrite> DecodeRegister(const std::string& aText);

/** Returns the JSON text of a head or of a sealed segment. */
std::string EncodeHead(const ShardHead& aHead);

/** Returns the decoded head or segment, or nothing when the text is invalid. */
std::optional<ShardHead> DecodeHead(const std::string& aText);

} // namespace skylarkchute
