#ifndef SRC_CONNECTION_BASE64_H_
#define SRC_CONNECTION_BASE64_H_

#include <string>
#include <string_view>

#include "celerypost/verdict.h"

namespace celerypost {

// Standard alphabet with padding.
std::string EncodeBase64(std::string_view bytes);
// Fails with kInvalidArgument.
Result<std::string> DecodeBase64(std::string_view text);

}  // namespace celerypost

#endif  // SRC_CONNECTION_BASE64_H_
