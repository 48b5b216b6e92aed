#include "src/request/request_fingerprint.h"

#include <cstddef>
#include <string>

#include "src/version/digest.h"

namespace celerypost {

namespace {

// Space for the lengths of the fields.
constexpr size_t kLengths = 64;

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

// The length keeps the end of one field from passing for the beginning of the
// next.
void AppendField(std::string& text, std::string_view field) {
  text.append(std::to_string(field.size())).append(":").append(field);
}

}  // namespace

RequestFingerprint FingerprintOf(const RequestIdentity& identity) {
  std::string host(identity.host);
  for (char& c : host) {
    c = ToLower(c);
  }
  std::string text;
  text.reserve(identity.method.size() + host.size() + identity.path.size() +
               identity.api_key.size() + identity.body.size() + kLengths);
  for (const std::string_view field :
       {identity.method, std::string_view(host), identity.path,
        identity.api_key, identity.body}) {
    AppendField(text, field);
  }
  const Digest digest = Digest::Of(text);
  RequestFingerprint fingerprint = 0;
  for (size_t i = 0; i < sizeof(fingerprint); ++i) {
    fingerprint = fingerprint << 8 | digest.bytes[i];
  }
  return fingerprint;
}

}  // namespace celerypost
