#include "src/process/state/store_reader.h"

#include <algorithm>

namespace celerypost {

bool ReadsStore(const ReaderOptions& options,
                const ReaderCandidate& self,
                const std::vector<ReaderCandidate>& others) {
  const auto count_before = [&](bool answering_only) {
    return static_cast<size_t>(std::count_if(
        others.begin(), others.end(), [&](const ReaderCandidate& other) {
          return (other.store_answers || !answering_only) &&
                 other.instance.value < self.instance.value;
        }));
  };
  const bool any_answered =
      self.store_answers || std::any_of(others.begin(), others.end(),
                                        [](const ReaderCandidate& other) {
                                          return other.store_answers;
                                        });
  if (!any_answered) {
    return count_before(/*answering_only=*/false) < options.readers_in_outage;
  }
  return self.store_answers &&
         count_before(/*answering_only=*/true) < options.readers;
}

}  // namespace celerypost
