#include "src/process/request_signature.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <charconv>
#include <cstdint>
#include <utility>

#include "celerypost/assert.h"
#include "src/version/hex.h"

namespace celerypost {
namespace {

constexpr std::string_view kScheme = "Celerypost-HMAC-SHA256 ";
constexpr size_t kHexDigestLength = 64;

int64_t ToUnixMs(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

// Each part is followed by a newline, so that different requests never give the
// same message: a method and a path contain no newline, and the body is last.
std::string SignatureHex(const SharedKey& key,
                         std::string_view method,
                         std::string_view path,
                         std::chrono::milliseconds signed_at,
                         std::string_view body) {
  std::string message;
  message.reserve(method.size() + path.size() + body.size() + 32);
  message.append(method).append("\n");
  message.append(path).append("\n");
  message.append(std::to_string(signed_at.count())).append("\n");
  message.append(body).append("\n");
  return ToHex(HmacSha256(key, message));
}

tl::unexpected<Failure> Refused(std::string message) {
  return NotRun(ErrorCode::kUnauthenticated, std::move(message));
}

}  // namespace

SharedKey::SharedKey(std::string bytes) : secret(std::move(bytes)) {}

std::string HmacSha256(const SharedKey& key, std::string_view message) {
  std::string digest(EVP_MAX_MD_SIZE, '\0');
  unsigned int length = 0;
  const unsigned char* result = HMAC(
      EVP_sha256(), key.bytes().data(), static_cast<int>(key.bytes().size()),
      reinterpret_cast<const unsigned char*>(message.data()), message.size(),
      reinterpret_cast<unsigned char*>(digest.data()), &length);
  CELERYPOST_ASSERT(result != nullptr, "every peer and order is verified");
  digest.resize(length);
  return digest;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string SignRequest(const SharedKey& key,
                        std::string_view method,
                        std::string_view path,
                        WallTime now,
                        std::string_view body) {
  const int64_t unix_ms = ToUnixMs(now);
  std::string header(kScheme);
  header.append(std::to_string(unix_ms)).append(":");
  header.append(SignatureHex(key, method, path,
                             std::chrono::milliseconds(unix_ms), body));
  return header;
}

RequestVerifier::RequestVerifier(SharedKey key, RequestVerifierOptions options)
    : key(std::move(key)), options(options) {}

Result<void> RequestVerifier::Verify(const HttpRequest& request, WallTime now) {
  std::string_view header = FindHeader(request.headers, "authorization");
  if (header.empty()) {
    return Refused("header authorization is missing");
  }
  if (header.substr(0, kScheme.size()) != kScheme) {
    return Refused(
        "header authorization: scheme is not Celerypost-HMAC-SHA256");
  }
  header.remove_prefix(kScheme.size());
  const size_t colon = header.find(':');
  int64_t unix_ms = 0;
  const char* const begin = header.data();
  if (colon == std::string_view::npos || colon == 0) {
    return Refused("header authorization: expected <unix ms>:<hex>");
  }
  const auto parsed = std::from_chars(begin, begin + colon, unix_ms);
  if (parsed.ec != std::errc() || parsed.ptr != begin + colon || unix_ms < 0) {
    return Refused("header authorization: unix ms is not a number");
  }
  const std::string_view signature = header.substr(colon + 1);
  if (signature.size() != kHexDigestLength) {
    return Refused("header authorization: signature must have 64 hex digits");
  }
  // The signature is checked before the time, so that only a holder of the key
  // learns anything about this process's clock.
  const std::string expected =
      SignatureHex(this->key, request.method, request.path,
                   std::chrono::milliseconds(unix_ms), request.body);
  if (this->key.empty() || !ConstantTimeEqual(expected, signature)) {
    return Refused("header authorization: signature does not match");
  }
  const int64_t now_ms = ToUnixMs(now);
  const int64_t window_ms = this->options.window.count();
  if (unix_ms < now_ms - window_ms || unix_ms > now_ms + window_ms) {
    return Refused("header authorization: time " + std::to_string(unix_ms) +
                   " differs by more than " + std::to_string(window_ms) +
                   " ms from this process's time " + std::to_string(now_ms));
  }
  if (request.method == "GET" || request.method == "HEAD") {
    return {};
  }
  const auto expired = this->seen_by_time.lower_bound(now_ms - window_ms);
  for (auto it = this->seen_by_time.begin(); it != expired; ++it) {
    this->seen.erase(it->second);
  }
  this->seen_by_time.erase(this->seen_by_time.begin(), expired);
  if (this->seen.contains(signature)) {
    return Refused("header authorization: signature was used before");
  }
  if (this->seen.size() >= this->options.max_remembered) {
    return NotRun(ErrorCode::kOverloaded,
                  "too many changes within the replay window; try again later");
  }
  this->seen.emplace(signature);
  this->seen_by_time.emplace(unix_ms, signature);
  return {};
}

std::string MakeNonce() {
  std::string nonce(32, '\0');
  const int status = RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                                static_cast<int>(nonce.size()));
  CELERYPOST_ASSERT(status == 1, "every peer and order is verified");
  return nonce;
}

}  // namespace celerypost
