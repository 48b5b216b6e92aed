#ifndef TESTS_SUPPORT_PEAK_MEMORY_H_
#define TESTS_SUPPORT_PEAK_MEMORY_H_

#include <cstddef>
#include <fstream>
#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {

// Measures the growth of the process's largest resident size.
class PeakMemory {
 public:
  // Begins with the present size. Fails the test if the kernel does not reset
  // the largest size.
  PeakMemory() {
    std::ofstream reset("/proc/self/clear_refs");
    reset << "5" << std::flush;
    CHECK_TRUE(reset.good());
    this->before = Peak();
  }

  // Bytes by which the largest size has grown since construction.
  size_t Growth() const { return Peak() - this->before; }

 private:
  static size_t Peak() {
    constexpr size_t kBytesPerUnit = 1024;
    std::ifstream status("/proc/self/status");
    std::string field;
    while (status >> field && field != "VmHWM:") {
    }
    size_t peak = 0;
    CHECK_TRUE(static_cast<bool>(status >> peak));
    return peak * kBytesPerUnit;
  }

  size_t before = 0;
};

}  // namespace celerypost

#endif  // TESTS_SUPPORT_PEAK_MEMORY_H_
