#include "src/version/digest.h"

#include <openssl/sha.h>
#include <xxhash.h>

namespace celerypost {
namespace {

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return -1;
}

}  // namespace

std::string Digest::ToHex() const {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * this->bytes.size());
  for (const uint8_t byte : this->bytes) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 15]);
  }
  return text;
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
