#ifndef INCLUDE_CELERYPOST_ASSERT_H_
#define INCLUDE_CELERYPOST_ASSERT_H_

namespace celerypost {

// Prints the condition, the source location and `promise` to standard error and
// aborts.
[[noreturn]] void AssertionFailed(const char* condition,
                                  const char* file,
                                  int line,
                                  const char* promise);

}  // namespace celerypost

// Checks an invariant in every build type. `promise` names the guarantee of the
// system that a violation would break.
#define CELERYPOST_ASSERT(condition, promise)                                 \
  do {                                                                        \
    if (!(condition)) {                                                       \
      ::celerypost::AssertionFailed(#condition, __FILE__, __LINE__, promise); \
    }                                                                         \
  } while (false)

#endif  // INCLUDE_CELERYPOST_ASSERT_H_
