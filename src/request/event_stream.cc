#include "src/request/event_stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace celerypost {

namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kHttpVersion = "HTTP/1.";
// Most bytes of two line ends.
constexpr size_t kTwoLineEnds = 4;

bool IsLineEnd(char c) {
  return c == '\n' || c == '\r';
}

// Removes the first line from `text` and returns it without its end. A line
// ends with \n, \r\n or \r.
std::string_view TakeLine(std::string_view& text) {
  const size_t end = std::min(text.find_first_of("\r\n"), text.size());
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end);
  text.remove_prefix(text.starts_with("\r\n") ? 2 : text.empty() ? 0 : 1);
  return line;
}

// Returns the value of the event's id field, or nothing.
std::optional<std::string> FindId(std::string_view event) {
  while (!event.empty()) {
    std::string_view line = TakeLine(event);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      while (!line.empty() && line.back() == ' ') {
        line.remove_suffix(1);
      }
      return std::string(line);
    }
  }
  return std::nullopt;
}

// Whether a line of the event is the status line of an HTTP response.
bool HasStatusLine(std::string_view event) {
  while (!event.empty()) {
    if (TakeLine(event).starts_with(kHttpVersion)) {
      return true;
    }
  }
  return false;
}

// Whether every line of the event is a comment or blank.
bool IsComment(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = TakeLine(event);
    if (!line.empty() && line.front() != ':') {
      return false;
    }
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
  if (this->is_corrupt) {
    return {};
  }
  size_t at = this->partial.size();
  this->partial.append(bytes);
  std::string complete;
  size_t begin = 0;
  for (; at < this->partial.size(); ++at) {
    const char c = this->partial[at];
    const bool ends_crlf = this->after_cr && c == '\n';
    this->after_cr = c == '\r';
    if (ends_crlf) {
      // If the blank line has ended its event, so that nothing of the next one
      // is kept, this byte goes with that event.
      if (at == begin) {
        complete.append(this->last_accepted ? 1 : 0, c);
        begin = at + 1;
      }
      continue;
    }
    if (!IsLineEnd(c)) {
      this->line_empty = false;
      continue;
    }
    if (!std::exchange(this->line_empty, true)) {
      continue;
    }
    const std::string_view event(this->partial.data() + begin, at + 1 - begin);
    this->last_accepted = this->Accept(event);
    if (this->is_corrupt) {
      break;
    }
    if (this->last_accepted) {
      complete.append(event);
    }
    begin = at + 1;
  }
  this->partial.erase(0, begin);
  return complete;
}

void EventStream::Restart() {
  this->partial.clear();
  this->line_empty = true;
  this->after_cr = false;
  this->is_corrupt = false;
  this->awaits_id = this->last_event_id.has_value();
}

bool EventStream::Accept(std::string_view event) {
  auto id = FindId(event);
  const bool comment = IsComment(event);
  if (HasStatusLine(event) || (this->awaits_id && !id && !comment)) {
    this->is_corrupt = true;
    return false;
  }
  this->awaits_id = this->awaits_id && !id;
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
  this->event_count += comment ? 0 : 1;
  return true;
}

bool EventStream::inside_event() const {
  return !this->line_empty || !IsComment(this->partial);
}

std::string EventStream::TakeTrailingComments() {
  return std::exchange(this->partial, {});
}

void EventBoundary::Add(std::string_view bytes) {
  this->tail.append(
      bytes.substr(bytes.size() - std::min(bytes.size(), kTwoLineEnds)));
  if (this->tail.size() > kTwoLineEnds) {
    this->tail.erase(0, this->tail.size() - kTwoLineEnds);
  }
}

bool EventBoundary::reached() const {
  if (this->tail.empty()) {
    return true;
  }
  std::string_view line = this->tail;
  if (!IsLineEnd(line.back())) {
    return false;
  }
  line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
  return line.empty() || IsLineEnd(line.back());
}

}  // namespace celerypost
