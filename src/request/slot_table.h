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
  // Zero while no instance owns the slot.
  InstanceId owner;
  // Table version since which `owner` has owned the slot without interruption.
  uint64_t since = 0;

  auto operator<=>(const SlotOwner&) const = default;
};

// The owners of a service's slots at one version. The newest version is stored
// in the key-value service. It changes only by compare-and-swap, so each
// version is written once.
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

// Returns the next version of `table`, in which every slot belongs to one of
// the `eligible` instances. Moves only slots of other owners, each to the
// instance that then owns the fewest, so the slots are spread as evenly as
// possible without moving one of an eligible owner. Returns `table` unchanged
// (same version) when no slot has to move or `eligible` is empty. The result
// does not depend on the order of `eligible`, so processes with equal input
// propose equal tables.
SlotTable ReassignSlots(const SlotTable& table,
                        std::span<const InstanceId> eligible);

}  // namespace celerypost

#endif  // SRC_REQUEST_SLOT_TABLE_H_
