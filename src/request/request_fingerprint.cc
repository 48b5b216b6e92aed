#include "src/request/request_fingerprint.h"

#include <cstddef>
#include <string>

#include "src/version/digest.h"

namespace celerypost {

namespace {

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
  AppendField(text, identity.method);
  AppendField(text, host);
  AppendField(text, identity.path);
  AppendField(text, identity.api_key);
  text.append(Digest::Of(identity.body).ToHex());
  const Digest digest = Digest::Of(text);
  RequestFingerprint fingerprint = 0;
  for (size_t i = 0; i < sizeof(fingerprint); ++i) {
    fingerprint = fingerprint << 8 | digest.bytes[i];
  }
  return fingerprint;
}

}  // namespace celerypost
