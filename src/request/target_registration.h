#ifndef SRC_REQUEST_TARGET_REGISTRATION_H_
#define SRC_REQUEST_TARGET_REGISTRATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/connection/socket_address.h"

namespace celerypost {

// A model, or a range of its layers, that a target reports.
struct HeldModel {
  std::string name;
  int64_t version = 0;
  // Layers [first_layer, end_layer) of that version; all layers when the target
  // does not report a range.
  uint32_t first_layer = 0;
  std::optional<uint32_t> end_layer;
};

// A target's registration.
struct TargetRegistration {
  // Identity of the target process; each start has a new one.
  std::string id;
  ServiceName service;
  SocketAddress address;
  ZoneName zone;
  uint32_t slots = 1;
  bool draining = false;
  // Number of this statement among those of one start of the target.
  int64_t sequence = 0;
  // Time that the target stays cold, counted from the registration.
  std::chrono::milliseconds cold_remaining{0};
  // When the process started, since the Unix epoch on the target's clock; tells
  // apart two starts with the same ID. 0 when the target does not report it.
  std::chrono::milliseconds started_at{0};
  std::vector<HeldModel> models;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_TARGET_REGISTRATION_H_
