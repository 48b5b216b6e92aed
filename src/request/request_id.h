#ifndef SRC_REQUEST_REQUEST_ID_H_
#define SRC_REQUEST_REQUEST_ID_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "celerypost/random.h"
#include "celerypost/verdict.h"

namespace celerypost {

// Number of slots of a service; part of the protocol, since every process must
// map an id to the same slot.
inline constexpr size_t kSlotCount = 64;

// Longest accepted `unique` part, in bytes.
inline constexpr size_t kMaxUniqueBytes = 64;

// The id of a non-idempotent request: `v<table version>-<issue time>-<unique>`.
// The issue time is the issuer's wall clock in milliseconds. It decides which
// records an owner discards first; ids issued no later than a discarded record
// of their slot then never run (SlotRecords::floor).
struct RequestId {
  uint64_t table_version = 0;
  std::chrono::milliseconds issued_at{0};
  std::string unique;

  auto operator<=>(const RequestId&) const = default;

  // Parses the text form. `unique` consists of 1 to kMaxUniqueBytes letters,
  // digits and the characters `._-`; numbers have no leading zeros, so that two
  // texts never denote the same id. Fails with kInvalidArgument; the message
  // names the part.
  static Result<RequestId> Parse(std::string_view text);

  // Returns a new id with a random `unique` part of 32 hex digits.
  static RequestId Make(uint64_t table_version,
                        std::chrono::milliseconds issued_at,
                        Random& random);

  // Returns `v<table version>-<issue time>`, to which a caller appends `-` and
  // its own unique part.
  static std::string Prefix(uint64_t table_version,
                            std::chrono::milliseconds issued_at);

  std::string ToString() const;

  // Returns the slot, in [0, kSlotCount). Depends only on `unique`.
  size_t Slot() const;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_REQUEST_ID_H_
