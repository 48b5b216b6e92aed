#include "src/request/version_set.h"

#include <set>

#include "CppUTest/TestHarness.h"
#include "celerypost/random.h"

namespace celerypost {
namespace {

std::set<uint64_t> Numbers(VersionRange range) {
  std::set<uint64_t> numbers;
  for (uint64_t at = range.first; at <= range.last; ++at) {
    numbers.insert(at);
  }
  return numbers;
}

TEST_GROUP(VersionSetTest){};

// Guards against a range operation that loses or adds a version, which would
// let two instances hold the same one. Compares with a std::set of versions.
TEST(VersionSetTest, BehavesLikeASetOfNumbers) {
  SplitMixRandom random(7);
  for (int run = 0; run < 500; ++run) {
    VersionSet ranges;
    std::set<uint64_t> numbers;
    for (int step = 0; step < 12; ++step) {
      const VersionRange range{random.Below(12), random.Below(12)};
      const std::set<uint64_t> changed = Numbers(range);
      std::set<uint64_t> missing;
      for (const VersionRange& part : ranges.Missing(range)) {
        missing.merge(Numbers(part));
      }
      std::set<uint64_t> expected = changed;
      std::erase_if(expected,
                    [&](uint64_t at) { return numbers.contains(at); });
      CHECK_TRUE(missing == expected);
      if (random.Below(3) == 0) {
        ranges.Remove(range);
        std::erase_if(numbers,
                      [&](uint64_t at) { return changed.contains(at); });
      } else {
        ranges.Add(range);
        numbers.insert(changed.begin(), changed.end());
      }
      for (uint64_t at = 0; at < 13; ++at) {
        LONGS_EQUAL(numbers.contains(at), ranges.Contains(at));
      }
      LONGS_EQUAL(numbers.empty(), ranges.empty());
      if (!numbers.empty()) {
        LONGS_EQUAL(*numbers.rbegin(), ranges.Newest().last);
      }
    }
  }
}

}  // namespace
}  // namespace celerypost
