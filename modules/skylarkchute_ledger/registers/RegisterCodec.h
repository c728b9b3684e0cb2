#pragma once

#include "../LedgerTypes.h"

namespace skylarkchute {

/** Registers of one shard that are still being added to.

    Stored under `registers/SHARD/head`, which is never deleted and is moved only by conditional
    update. */
struct ShardHead
{
  std::uint64_t mFirst = 0;  /**< Number of the oldest sealed segment that still counts. */
  std::uint64_t mNumber = 0; /**< Number that these registers get as a sealed segment. */
  /** Nothing more may be added: the registers are copied to segment mNumber, then the head goes on
      with the next number. */
  bool mSealed = false;
  std::vector<RegisterWrite> mRegisters;
};

/** Returns the JSON text of one register, as ObjectPerRegister stores it. */
std::string EncodeRegister(const RegisterWrite& aRegister);

/** Returns the register in the text, or nothing when it is not one. */
std::optional<RegisterWrite> DecodeRegister(const std::string& aText);

/** Returns the JSON text of a head or of a sealed segment. */
std::string EncodeHead(const ShardHead& aHead);

/** Returns the head in the text, or nothing when it is not one. */
std::optional<ShardHead> DecodeHead(const std::string& aText);

} // namespace skylarkchute
