#include "src/version/staged_copy.h"

#include <algorithm>

namespace celerypost {

StagedCopy::StagedCopy(StagedCopyOptions options, TimePoint start)
    : options(options), writes_settled_at(start + options.write_settle_time) {}

void StagedCopy::Reset(size_t chunks, TimePoint now) {
  this->chunks.assign(chunks, {.changed_at = now, .good_since = std::nullopt});
}

void StagedCopy::OnChanged(size_t number, TimePoint now) {
  if (number < this->chunks.size()) {
    this->chunks[number] = {.changed_at = now, .good_since = std::nullopt};
  }
}

void StagedCopy::OnWriteUnanswered(TimePoint now) {
  this->writes_settled_at =
      std::max(this->writes_settled_at, now + this->options.write_settle_time);
}

void StagedCopy::OnGood(size_t number, TimePoint started) {
  if (number >= this->chunks.size()) {
    return;
  }
  Chunk& chunk = this->chunks[number];
  if (started >= chunk.changed_at) {
    chunk.good_since = std::max(chunk.good_since.value_or(started), started);
  }
}

std::vector<size_t> StagedCopy::NotGoodSince(TimePoint time) const {
  std::vector<size_t> numbers;
  for (size_t i = 0; i < this->chunks.size(); ++i) {
    const auto& good_since = this->chunks[i].good_since;
    if (!good_since || *good_since < time) {
      numbers.push_back(i);
    }
  }
  return numbers;
}

std::optional<TimePoint> StagedCopy::GoodSince() const {
  std::optional<TimePoint> oldest;
  for (const Chunk& chunk : this->chunks) {
    if (!chunk.good_since) {
      return std::nullopt;
    }
    oldest = std::min(oldest.value_or(*chunk.good_since), *chunk.good_since);
  }
  return oldest;
}

std::vector<size_t> StagedCopy::UnprovenAt(TimePoint accepted) const {
  return this->NotGoodSince(accepted < this->writes_settled_at
                                ? accepted
                                : accepted - this->options.proof_lifetime);
}

}  // namespace celerypost
