#include "src/request/size_balance.h"

#include <algorithm>
#include <cmath>

namespace celerypost {

SizeBalance::SizeBalance(SizeBalanceOptions options) : options(options) {}

SizeLean SizeBalance::LeanOf(const ServiceName& service,
                             std::string_view kind,
                             int rank) const {
  const auto found = this->services.find({service, rank});
  if (found == this->services.end()) {
    return {};
  }
  const auto sizes = found->second.kinds.find(kind);
  if (sizes == found->second.kinds.end() ||
      sizes->second.recent.size() < this->options.min_sizes) {
    return {};
  }
  return {.weight = found->second.lean,
          .reference_tokens = sizes->second.reference};
}

SizeBalance::KindSizes& SizeBalance::SizesOf(ServiceSizes& service,
                                             std::string_view kind,
                                             TimePoint now) const {
  auto found = service.kinds.find(kind);
  if (found == service.kinds.end()) {
    std::erase_if(service.kinds, [&](const auto& entry) {
      return now - entry.second.seen_at > this->options.forget_after;
    });
    found = service.kinds.emplace(kind, KindSizes()).first;
  }
  found->second.seen_at = now;
  return found->second;
}

void SizeBalance::AddSize(KindSizes& sizes, double prompt_tokens) const {
  sizes.recent.push_back(prompt_tokens);
  if (sizes.recent.size() > this->options.window) {
    sizes.recent.pop_front();
  }
  const auto count = static_cast<double>(sizes.recent.size());
  double sum = 0;
  double sum_of_squares = 0;
  for (const double size : sizes.recent) {
    sum += size;
    sum_of_squares += size * size;
  }
  sizes.mean = sum / count;
  const double variance =
      std::max(0.0, sum_of_squares / count - sizes.mean * sizes.mean);
  sizes.reference =
      sizes.mean + this->options.reference_deviations * std::sqrt(variance);
}

double SizeBalance::Shortfall(const KindSizes& sizes,
                              double lean,
                              double room_tokens) const {
  double shortfall = 0;
  for (const double size : sizes.recent) {
    const double counted = size + lean * std::max(0.0, sizes.reference - size);
    // With s for "placed" and z for the relative size, the mean is 0 where
    // E[zs] is `token_share` times E[s].
    if (counted <= room_tokens) {
      shortfall += this->options.token_share - size / sizes.mean;
    }
  }
  return shortfall / static_cast<double>(sizes.recent.size());
}

void SizeBalance::OnDecision(const ServiceName& service,
                             std::string_view kind,
                             double prompt_tokens,
                             double room_tokens,
                             TimePoint now,
                             int rank) {
  if (!(prompt_tokens > 0)) {
    return;
  }
  const std::pair<ServiceName, int> key(service, rank);
  if (!this->services.contains(key)) {
    std::erase_if(this->services, [&](const auto& entry) {
      return now - entry.second.changed_at > this->options.forget_after;
    });
  }
  ServiceSizes& state = this->services[key];
  KindSizes& sizes = this->SizesOf(state, kind, now);
  this->AddSize(sizes, prompt_tokens);
  const double step =
      std::clamp(std::chrono::duration<double>(now - state.changed_at) /
                     std::chrono::duration<double>(this->options.response_time),
                 0.0, this->options.max_step);
  state.changed_at = now;
  if (sizes.recent.size() < this->options.min_sizes) {
    return;
  }
  state.lean = std::clamp(
      state.lean + step * this->Shortfall(sizes, state.lean, room_tokens), 0.0,
      1.0);
}

size_t SizeBalance::kinds() const {
  size_t count = 0;
  for (const auto& [service, state] : this->services) {
    count += state.kinds.size();
  }
  return count;
}

double SizeBalance::LargestLean() const {
  double largest = 0;
  for (const auto& [service, state] : this->services) {
    largest = std::max(largest, state.lean);
  }
  return largest;
}

}  // namespace celerypost
