#include "src/process/build_info.h"

namespace celerypost {

BuildInfo ThisBuild() {
  return {"0.1.0", CELERYPOST_COMMIT, CELERYPOST_SOURCES};
}

}  // namespace celerypost
