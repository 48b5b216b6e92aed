#ifndef SRC_REQUEST_VERSION_SET_H_
#define SRC_REQUEST_VERSION_SET_H_

#include <cstdint>
#include <vector>

namespace celerypost {

// Versions from `first` to `last`, both included; empty when first > last.
struct VersionRange {
  uint64_t first = 1;
  uint64_t last = 0;

  bool empty() const { return this->first > this->last; }
  bool operator==(const VersionRange&) const = default;
};

// A set of versions, stored as disjoint ranges in ascending order. Holds one or
// two ranges in practice.
class VersionSet {
 public:
  void Add(VersionRange range);
  void Remove(VersionRange range);
  bool Contains(uint64_t version) const;
  // Returns the parts of `range` that are not in the set.
  std::vector<VersionRange> Missing(VersionRange range) const;
  // Returns the range with the highest versions; empty if the set is empty.
  VersionRange Newest() const;
  bool empty() const { return this->ranges.empty(); }

 private:
  std::vector<VersionRange> ranges;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_VERSION_SET_H_
