#include "celerypost/assert.h"

#include <cstdio>
#include <cstdlib>

namespace celerypost {

void AssertionFailed(const char* condition,
                     const char* file,
                     int line,
                     const char* promise) {
  std::fprintf(stderr, "%s:%d: assertion failed: %s: %s\n", file, line,
               condition, promise);
  std::abort();
}

}  // namespace celerypost
