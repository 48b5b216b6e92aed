#include "src/process/ctl_progress.h"

#include <algorithm>

#include "src/process/ctl_table.h"

namespace celerypost {
namespace {

using Json = nlohmann::ordered_json;

constexpr size_t kBarWidth = 30;

size_t ScaleToBar(uint64_t part, uint64_t whole) {
  return whole == 0
             ? 0
             : static_cast<size_t>(static_cast<double>(std::min(part, whole)) /
                                   static_cast<double>(whole) * kBarWidth);
}

std::string Bar(const RolloutRow& row) {
  const size_t ready = ScaleToBar(row.replicas_ready, row.replicas);
  const size_t held =
      std::max(ScaleToBar(row.chunks_held, row.chunks_total), ready);
  return "[" + std::string(ready, '#') + std::string(held - ready, '-') +
         std::string(kBarWidth - held, ' ') + "]";
}

std::optional<uint64_t> Count(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_unsigned()) {
    return std::nullopt;
  }
  return it->get<uint64_t>();
}

std::optional<std::string> Text(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

}  // namespace

std::optional<std::vector<RolloutRow>> ReadRollouts(const Json& status) {
  const auto list = status.find("rollouts");
  if (list == status.end() || !list->is_array()) {
    return std::nullopt;
  }
  std::vector<RolloutRow> rows;
  for (const Json& object : *list) {
    if (!object.is_object()) {
      return std::nullopt;
    }
    const auto service = Text(object, "service");
    const auto version = Text(object, "version");
    const auto replicas = Count(object, "replicas");
    const auto ready = Count(object, "replicas_ready");
    if (!service || !version || !replicas || !ready) {
      return std::nullopt;
    }
    rows.push_back({*service, *version, *replicas, *ready,
                    Count(object, "chunks_held").value_or(0),
                    Count(object, "chunks_total").value_or(0)});
  }
  return rows;
}

std::string RenderProgress(const std::vector<RolloutRow>& rollouts) {
  if (rollouts.empty()) {
    return "no roll-out\n";
  }
  std::string text;
  for (const RolloutRow& row : rollouts) {
    text += Printable(row.service) + " " + Printable(row.version) + " " +
            Bar(row) + " ";
    text += row.replicas == 0
                ? "no replicas yet"
                : std::to_string(row.replicas_ready) + "/" +
                      std::to_string(row.replicas) + " replicas ready";
    if (row.chunks_total > 0) {
      text += ", " + std::to_string(row.chunks_held) + "/" +
              std::to_string(row.chunks_total) + " chunks";
    }
    text += "\n";
  }
  return text;
}

std::string ProgressDisplay::Update(const std::string& rendering) {
  if (rendering == this->previous) {
    return {};
  }
  std::string bytes;
  if (this->terminal && !this->previous.empty()) {
    const auto lines =
        std::count(this->previous.begin(), this->previous.end(), '\n');
    // Moves the cursor up to the first line and erases to the end.
    bytes = "\x1b[" + std::to_string(lines) + "A\x1b[J";
  }
  this->previous = rendering;
  return bytes + rendering;
}

}  // namespace celerypost
