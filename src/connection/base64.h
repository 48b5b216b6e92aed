#ifndef SRC_CONNECTION_BASE64_H_
#define SRC_CONNECTION_BASE64_H_

#include <string>
#include <string_view>

#include "celerypost/verdict.h"

namespace celerypost {

// Encodes with the standard alphabet and padding.
std::string EncodeBase64(std::string_view bytes);
// Fails with kInvalidArgument when `text` is not padded standard base64.
Result<std::string> DecodeBase64(std::string_view text);

}  // namespace celerypost

#endif  // SRC_CONNECTION_BASE64_H_
