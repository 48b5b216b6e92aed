#include "src/process/ctl_progress.h"

#include <algorithm>

#include "src/process/ctl_table.h"

namespace celerypost {
namespace {

using Json = nlohmann::ordered_json;

constexpr size_t kBarWidth = 30;

std::string Bar(const RolloutRow& row) {
  const auto width = [&row](uint64_t part) {
    return row.targets == 0 ? size_t{0}
                            : static_cast<size_t>(std::min(part, row.targets) *
                                                  kBarWidth / row.targets);
  };
  const size_t switched = width(row.switched);
  const size_t verified = std::max(width(row.verified), switched);
  return "[" + std::string(switched, '#') +
         std::string(verified - switched, '-') +
         std::string(kBarWidth - verified, ' ') + "]";
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
    const auto targets = Count(object, "targets");
    const auto verified = Count(object, "verified");
    const auto switched = Count(object, "switched");
    if (!service || !version || !targets || !verified || !switched) {
      return std::nullopt;
    }
    rows.push_back({*service, *version, *targets, *verified, *switched});
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
    text += row.targets == 0 ? "no targets yet"
                             : std::to_string(row.switched) + "/" +
                                   std::to_string(row.targets) + " switched, " +
                                   std::to_string(row.verified) + " verified";
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
