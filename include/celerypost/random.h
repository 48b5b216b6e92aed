#ifndef INCLUDE_CELERYPOST_RANDOM_H_
#define INCLUDE_CELERYPOST_RANDOM_H_

#include <cstdint>

namespace celerypost {

// A source of random numbers, passed to its users so that a test or a
// randomised run can be repeated from its seed. Not for keys or nonces.
class Random {
 public:
  virtual ~Random() = default;

  // Returns 64 uniformly distributed bits.
  virtual uint64_t Next() = 0;

  // Returns a number in [0, bound); 0 when `bound` is 0.
  uint64_t Below(uint64_t bound) {
    // Multiplies instead of dividing; the bias is below bound / 2^32.
    return ((this->Next() >> 32) * bound) >> 32;
  }

  // Returns a number in [0, 1).
  double Unit() { return static_cast<double>(this->Next() >> 11) * 0x1.0p-53; }
};

// The splitmix64 generator: 64 bits of state, about 1 ns per number.
class SplitMixRandom final : public Random {
 public:
  explicit SplitMixRandom(uint64_t seed) : state(seed) {}

  uint64_t Next() override {
    uint64_t mixed = (this->state += 0x9e3779b97f4a7c15);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
  }

 private:
  uint64_t state;
};

}  // namespace celerypost

#endif  // INCLUDE_CELERYPOST_RANDOM_H_
