#ifndef INCLUDE_CELERYPOST_ASSERT_H_
#define INCLUDE_CELERYPOST_ASSERT_H_

namespace celerypost {

// Prints the condition, the place and the promise to standard error and aborts.
[[noreturn]] void AssertionFailed(const char* condition,
                                  const char* file,
                                  int line,
                                  const char* promise);

}  // namespace celerypost

// Checks an invariant in every build. `promise` says which promise of the
// system would be broken.
#define CELERYPOST_ASSERT(condition, promise)                                 \
  do {                                                                        \
    if (!(condition)) {                                                       \
      ::celerypost::AssertionFailed(#condition, __FILE__, __LINE__, promise); \
    }                                                                         \
  } while (false)

#endif  // INCLUDE_CELERYPOST_ASSERT_H_
