#ifndef SRC_REQUEST_SLOT_TABLE_H_
#define SRC_REQUEST_SLOT_TABLE_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/request/request_id.h"

namespace celerypost {

struct SlotOwner {
  // Zero while nobody owns the slot.
  InstanceId owner;
  // First table version at which `owner` owns the slot without interruption.
  uint64_t since = 0;

  auto operator<=>(const SlotOwner&) const = default;
};

// The owners of a service's slots at one version. The key-value service holds
// the newest version; it changes only by compare-and-swap, and each version is
// written once.
struct SlotTable {
  // 0 is the empty table that was never written.
  uint64_t version = 0;
  std::array<SlotOwner, kSlotCount> slots;

  bool operator==(const SlotTable&) const = default;

  // Reads the JSON form `{"version": 3, "slots": [{"owner": "<16 hex digits>",
  // "since": 1}, ...]}` with exactly 64 slots. Fails with kInvalidArgument; the
  // message names the field.
  static Result<SlotTable> Parse(std::string_view json);

  std::string ToJson() const;
};

// Returns the next version of `table`, in which no slot belongs to an instance
// outside `fit`. Only such slots move. Each goes to the instance that then owns
// fewest, so the result is as even as it can be without moving a slot of a fit
// owner. Returns `table` unchanged (same version) when no slot has to move or
// `fit` is empty. The result depends only on the arguments' values, not on the
// order of `fit`.
SlotTable ReassignSlots(const SlotTable& table,
                        std::span<const InstanceId> fit);

}  // namespace celerypost

#endif  // SRC_REQUEST_SLOT_TABLE_H_
