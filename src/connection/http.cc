#include "src/connection/http.h"

#include <algorithm>
#include <cstdio>

#include "src/version/hex.h"

namespace celerypost {

namespace {

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const int high = HexValue(text[i + 1]);
      const int low = HexValue(text[i + 2]);
      if (high >= 0 && low >= 0) {
        decoded.push_back(static_cast<char>(high * 16 + low));
        i += 2;
        continue;
      }
    }
    decoded.push_back(text[i] == '+' ? ' ' : text[i]);
  }
  return decoded;
}

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || kSymbols.find(c) != std::string_view::npos;
  });
}

std::string EscapeBytes(std::string_view bytes) {
  constexpr size_t kMaxBytes = 64;
  std::string text;
  for (const char c : bytes.substr(0, kMaxBytes)) {
    if (c > ' ' && c <= '~' && c != '\\') {
      text.push_back(c);
    } else {
      char escaped[5];
      snprintf(escaped, sizeof(escaped), "\\x%02x",
               static_cast<unsigned>(static_cast<unsigned char>(c)));
      text += escaped;
    }
  }
  return text;
}

std::string FindQueryParameter(std::string_view path, std::string_view name) {
  const size_t question = path.find('?');
  if (question == std::string_view::npos) {
    return {};
  }
  std::string_view query = path.substr(question + 1);
  while (!query.empty()) {
    const size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? std::string()
                 : DecodePercent(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) {
      break;
    }
    query.remove_prefix(end + 1);
  }
  return {};
}

void AppendLowerCase(std::string& text, std::string_view bytes) {
  for (const char c : bytes) {
    text.push_back(
        static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
  }
}

std::string_view PathWithoutQuery(std::string_view path) {
  return path.substr(0, path.find('?'));
}

size_t HeldBytes(const HttpRequest& request) {
  // Shorter strings are kept within their object.
  static const size_t in_object = std::string().capacity();
  const auto held = [](const std::string& text) {
    return text.capacity() > in_object ? text.capacity() : size_t{0};
  };
  size_t bytes = held(request.body) + held(request.path) +
                 request.headers.capacity() * sizeof(HttpHeaders::value_type);
  for (const auto& [name, value] : request.headers) {
    bytes += held(name) + held(value);
  }
  return bytes;
}

}  // namespace celerypost
