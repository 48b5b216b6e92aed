#ifndef SRC_CONNECTION_HTTP_H_
#define SRC_CONNECTION_HTTP_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace celerypost {

// Names and values of headers; the names are in lower case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Returns the first value of header `name` (lower case), or an empty view if it
// is absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

// Appends `bytes` to `text` in lower case.
void AppendLowerCase(std::string& text, std::string_view bytes);

// Returns whether `text` is a token (RFC 9110, 5.6.2), as the name of a header
// has to be.
bool IsToken(std::string_view text);

// Returns the beginning of `bytes` for logs: bytes other than visible ASCII
// characters are written as \xNN.
std::string EscapeBytes(std::string_view bytes);

// Returns the percent-decoded value of query parameter `name`, or an empty
// string if it is absent.
std::string FindQueryParameter(std::string_view path, std::string_view name);

// Returns `path` without its query.
std::string_view PathWithoutQuery(std::string_view path);

struct HttpRequest {
  std::string method = "GET";
  // Path and query.
  std::string path = "/";
  HttpHeaders headers;
  std::string body;
};

// Returns about how many bytes of memory the request takes.
size_t HeldBytes(const HttpRequest& request);

}  // namespace celerypost

#endif  // SRC_CONNECTION_HTTP_H_
