#include "src/request/event_stream.h"

#include <charconv>
#include <utility>

namespace celerypost {

namespace {

constexpr std::string_view kBlankLine = "\n\n";
constexpr std::string_view kIdField = "id:";

// Returns the value of the event's id field, or nothing.
std::optional<std::string> FindId(std::string_view event) {
  size_t at = 0;
  while (at < event.size()) {
    const size_t end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
        line.remove_suffix(1);
      }
      return std::string(line);
    }
    at = end + 1;
  }
  return std::nullopt;
}

// Whether every line of the event is a comment or blank.
bool IsComment(std::string_view event) {
  size_t at = 0;
  while (at < event.size()) {
    const char first = event[at];
    if (first != ':' && first != '\n' && first != '\r') {
      return false;
    }
    at = std::min(event.find('\n', at), event.size() - 1) + 1;
  }
  return true;
}

std::optional<int64_t> ToNumber(const std::string& text) {
  int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string EventStream::Add(std::string_view bytes) {
  this->partial.append(bytes);
  std::string complete;
  size_t at = 0;
  for (size_t end = this->partial.find(kBlankLine); end != std::string::npos;
       end = this->partial.find(kBlankLine, at)) {
    const size_t next = end + kBlankLine.size();
    const std::string_view event(this->partial.data() + at, next - at);
    if (this->Accept(event)) {
      complete.append(event);
    }
    at = next;
  }
  this->partial.erase(0, at);
  return complete;
}

bool EventStream::Accept(std::string_view event) {
  auto id = FindId(event);
  if (id && this->last_event_id) {
    const auto number = ToNumber(*id);
    const auto previous = ToNumber(*this->last_event_id);
    if (number && previous && *number <= *previous) {
      return false;
    }
  }
  if (id) {
    this->last_event_id = std::move(id);
  }
  this->event_count += IsComment(event) ? 0 : 1;
  return true;
}

std::string EventStream::TakeIncompleteEvent() {
  return std::exchange(this->partial, {});
}

}  // namespace celerypost
