#include "src/request/slot_table.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>

#include "src/version/bounded_json.h"

namespace celerypost {
namespace {

using Json = nlohmann::json;

tl::unexpected<Failure> Invalid(const std::string& field,
                                const std::string& expected) {
  return NotRun(ErrorCode::kInvalidArgument,
                "slot table: " + field + " is not " + expected);
}

std::string HexOf(InstanceId instance) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(instance.value));
  return text;
}

bool ParseOwner(const Json& value, InstanceId* owner) {
  if (!value.is_string()) {
    return false;
  }
  const auto& text = value.get_ref<const std::string&>();
  const char* const end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data(), end, owner->value, 16);
  return text.size() == 16 && error == std::errc() && rest == end;
}

}  // namespace

Result<SlotTable> SlotTable::Parse(std::string_view json) {
  const Json document = ParseBoundedJson(json);
  if (!document.is_object()) {
    return Invalid("document", "a JSON object");
  }
  const auto version = document.find("version");
  if (version == document.end() || !version->is_number_unsigned()) {
    return Invalid("version", "a non-negative integer");
  }
  const auto slots = document.find("slots");
  if (slots == document.end() || !slots->is_array() ||
      slots->size() != kSlotCount) {
    return Invalid("slots", "an array of 64 entries");
  }
  SlotTable table;
  table.version = version->get<uint64_t>();
  for (size_t index = 0; index < kSlotCount; ++index) {
    const std::string field = "slots[" + std::to_string(index) + "]";
    const Json& entry = (*slots)[index];
    if (!entry.is_object()) {
      return Invalid(field, "an object");
    }
    SlotOwner& slot = table.slots[index];
    const auto owner = entry.find("owner");
    if (owner == entry.end() || !ParseOwner(*owner, &slot.owner)) {
      return Invalid(field + ".owner", "a string of 16 hex digits");
    }
    const auto since = entry.find("since");
    if (since == entry.end() || !since->is_number_unsigned() ||
        since->get<uint64_t>() > table.version) {
      return Invalid(field + ".since", "an integer from 0 to the version");
    }
    slot.since = since->get<uint64_t>();
  }
  return table;
}

std::string SlotTable::ToJson() const {
  Json slots = Json::array();
  for (const SlotOwner& slot : this->slots) {
    slots.push_back({{"owner", HexOf(slot.owner)}, {"since", slot.since}});
  }
  return Json({{"version", this->version}, {"slots", std::move(slots)}}).dump();
}

SlotTable ReassignSlots(const SlotTable& table,
                        std::span<const InstanceId> eligible) {
  std::map<InstanceId, size_t> owned;
  for (const InstanceId instance : eligible) {
    if (instance != InstanceId{}) {
      owned[instance] = 0;
    }
  }
  if (owned.empty()) {
    return table;
  }
  for (const SlotOwner& slot : table.slots) {
    if (const auto found = owned.find(slot.owner); found != owned.end()) {
      ++found->second;
    }
  }
  SlotTable next = table;
  ++next.version;
  bool moved = false;
  for (SlotOwner& slot : next.slots) {
    if (owned.contains(slot.owner)) {
      continue;
    }
    const auto fewest = std::min_element(
        owned.begin(), owned.end(), [](const auto& left, const auto& right) {
          return left.second < right.second;
        });
    ++fewest->second;
    slot = {fewest->first, next.version};
    moved = true;
  }
  return moved ? next : table;
}

}  // namespace celerypost
