#ifndef SRC_REQUEST_SIZE_BALANCE_H_
#define SRC_REQUEST_SIZE_BALANCE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "celerypost/types.h"
#include "src/request/placement.h"

namespace celerypost {

struct SizeBalanceOptions {
  // Number of recent requests of a kind whose sizes are kept.
  size_t window = 128;
  // Fewer sizes than this say too little of a kind.
  size_t min_sizes = 8;
  // Share of the prompt tokens that are placed, as a multiple of the share of
  // the requests that are placed. The lean rises below it and falls above it.
  double token_share = 0.87;
  // The lean changes by the measured difference in this time, and by up to
  // `max_step` of it with one request.
  std::chrono::milliseconds response_time{400};
  double max_step = 0.5;
  // Distance of the reference size from the mean size of a kind, in standard
  // deviations.
  double reference_deviations = 2;
  // Kinds and services without a request for this long are forgotten when a new
  // one appears: configurations rename and drop routes.
  std::chrono::milliseconds forget_after{60000};
};

// Measures whether long prompts are refused more often than short ones, and
// derives how much the placement of short prompts must leave to long ones. With
// each request it judges which of the recent sizes of the same kind would have
// been placed in its stead, so that a gateway with few requests a second
// notices as well. The kinds of a service and a rank share one lean, so that
// what is held back of one rank does not count as room for another. Each
// gateway has its own object. Performs no I/O.
class SizeBalance {
 public:
  explicit SizeBalance(SizeBalanceOptions options);

  // Returns what the placement of the next request of a kind needs; a lean of 0
  // while nothing shows that sizes are refused unevenly. `kind` is the name of
  // a route, `rank` RankRuling::level, 0 where ranks are not told apart.
  SizeLean LeanOf(const ServiceName& service,
                  std::string_view kind,
                  int rank = 0) const;
  // Records the decision on a request's arrival. `room_tokens` is
  // Placement::room_tokens. Requests without a known size are left out.
  void OnDecision(const ServiceName& service,
                  std::string_view kind,
                  double prompt_tokens,
                  double room_tokens,
                  TimePoint now,
                  int rank = 0);
  // Returns the largest lean of all services, from 0 to 1.
  double LargestLean() const;
  // Number of kinds whose sizes are kept, of all services.
  size_t kinds() const;

 private:
  // The recent sizes of a kind in prompt tokens, oldest first.
  struct KindSizes {
    std::deque<double> recent;
    double mean = 0;
    double reference = 0;
    TimePoint seen_at{};
  };
  struct ServiceSizes {
    double lean = 0;
    TimePoint changed_at{};
    // By name of the route.
    std::map<std::string, KindSizes, std::less<>> kinds;
  };

  // Returns the sizes of the kind, new ones if it has none yet.
  KindSizes& SizesOf(ServiceSizes& service,
                     std::string_view kind,
                     TimePoint now) const;
  void AddSize(KindSizes& sizes, double prompt_tokens) const;
  // Returns the mean difference between `token_share` and the share of tokens
  // that would have been placed with `room_tokens`; negative when long prompts
  // get more than their share.
  double Shortfall(const KindSizes& sizes,
                   double lean,
                   double room_tokens) const;

  SizeBalanceOptions options;
  // By service and rank.
  std::map<std::pair<ServiceName, int>, ServiceSizes> services;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_SIZE_BALANCE_H_
