#ifndef SRC_VERSION_DIGEST_H_
#define SRC_VERSION_DIGEST_H_

#include <array>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace celerypost {

// A SHA-256 digest.
struct Digest {
  std::array<uint8_t, 32> bytes{};

  bool operator==(const Digest&) const = default;
  bool operator<(const Digest& other) const {
    return std::memcmp(this->bytes.data(), other.bytes.data(),
                       this->bytes.size()) < 0;
  }

  // 64 lower-case hexadecimal digits.
  std::string ToHex() const;
  // Accepts exactly 64 hexadecimal digits.
  static std::optional<Digest> FromHex(std::string_view text);
  // The digest of `content`.
  static Digest Of(std::string_view content);
};

// Rendezvous weight of `instance` for `key`: the instance with the largest
// weight comes first. Equal in every process.
uint64_t RendezvousWeight(std::string_view key, uint64_t instance);
uint64_t RendezvousWeight(const Digest& key, uint64_t instance);

}  // namespace celerypost

template <>
struct std::hash<celerypost::Digest> {
  size_t operator()(const celerypost::Digest& digest) const noexcept {
    // The bytes are already uniformly distributed.
    size_t value;
    std::memcpy(&value, digest.bytes.data(), sizeof(value));
    return value;
  }
};

#endif  // SRC_VERSION_DIGEST_H_
