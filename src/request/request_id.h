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
// The issue time is in milliseconds of the issuer's wall clock. It only orders
// the records that an owner discards.
struct RequestId {
  uint64_t table_version = 0;
  std::chrono::milliseconds issued_at{0};
  std::string unique;

  auto operator<=>(const RequestId&) const = default;

  // Reads the text form. `unique` has 1 to kMaxUniqueBytes letters, digits and
  // the characters `._-`; numbers have no leading zero, so that two texts never
  // name the same id. Fails with kInvalidArgument; the message names the part.
  static Result<RequestId> Parse(std::string_view text);

  // Draws a new id.
  static RequestId Make(uint64_t table_version,
                        std::chrono::milliseconds issued_at,
                        Random& random);

  // Returns `v<table version>-<issue time>`, to which a caller appends `-` and
  // its own unique part.
  static std::string Prefix(uint64_t table_version,
                            std::chrono::milliseconds issued_at);

  std::string ToString() const;

  // Returns the slot, in [0, kSlotCount), from `unique` alone.
  size_t Slot() const;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_REQUEST_ID_H_
