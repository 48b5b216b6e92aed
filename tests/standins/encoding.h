#ifndef TESTS_STANDINS_ENCODING_H_
#define TESTS_STANDINS_ENCODING_H_

#include <string>
#include <string_view>

namespace celerypost::standins {

std::string Sha256Hex(std::string_view bytes);
std::string EncodeBase64(std::string_view bytes);
// Throws std::invalid_argument on text that is not base64.
std::string DecodeBase64(std::string_view text);

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_ENCODING_H_
