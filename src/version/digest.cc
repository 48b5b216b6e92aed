#include "src/version/digest.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include "src/version/hex.h"

namespace celerypost {
std::string Digest::ToHex() const {
  return celerypost::ToHex(std::string_view(
      reinterpret_cast<const char*>(this->bytes.data()), this->bytes.size()));
}

std::optional<Digest> Digest::FromHex(std::string_view text) {
  Digest digest;
  if (text.size() != 2 * digest.bytes.size()) {
    return std::nullopt;
  }
  for (size_t i = 0; i < digest.bytes.size(); ++i) {
    const int high = HexValue(text[2 * i]);
    const int low = HexValue(text[2 * i + 1]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    digest.bytes[i] = static_cast<uint8_t>(high * 16 + low);
  }
  return digest;
}

Digest Digest::Of(std::string_view content) {
  Digest digest;
  SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(),
         digest.bytes.data());
  return digest;
}

uint64_t RendezvousWeight(std::string_view key, uint64_t instance) {
  return XXH3_64bits_withSeed(key.data(), key.size(), instance);
}

uint64_t RendezvousWeight(const Digest& key, uint64_t instance) {
  return XXH3_64bits_withSeed(key.bytes.data(), key.bytes.size(), instance);
}

}  // namespace celerypost
