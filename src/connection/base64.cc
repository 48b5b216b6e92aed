#include "src/connection/base64.h"

#include <openssl/evp.h>

namespace celerypost {

std::string EncodeBase64(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

Result<std::string> DecodeBase64(std::string_view text) {
  const auto invalid = [&] {
    return NotRun(
        ErrorCode::kInvalidArgument,
        "invalid base64 of " + std::to_string(text.size()) + " characters");
  };
  if (text.size() % 4 != 0) {
    return invalid();
  }
  std::string bytes(text.size() / 4 * 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) {
    return invalid();
  }
  // EVP_DecodeBlock counts the padding as bytes.
  size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<size_t>(length) - padding);
  return bytes;
}

}  // namespace celerypost
