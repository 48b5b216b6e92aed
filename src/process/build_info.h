#ifndef SRC_PROCESS_BUILD_INFO_H_
#define SRC_PROCESS_BUILD_INFO_H_

#include <string_view>

namespace celerypost {

// What this program was built from. `commit` and `sources` are "unknown" in a
// build that was not configured by tools/configure.
struct BuildInfo {
  std::string_view version;
  // Abbreviated commit of the checkout, followed by "-modified" if its sources
  // differ from it; "unknown" where git does not tell.
  std::string_view commit;
  // First 16 hexadecimal digits of a digest of the names and contents of the
  // sources.
  std::string_view sources;
};

BuildInfo ThisBuild();

}  // namespace celerypost

#endif  // SRC_PROCESS_BUILD_INFO_H_
