#ifndef SRC_REQUEST_EVENT_STREAM_H_
#define SRC_REQUEST_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celerypost {

// Splits the body of an event stream into complete events, so that a stream
// that breaks off within an event can be resumed at another target.
class EventStream {
 public:
  // Adds bytes of the body and returns the events that are now complete, byte
  // for byte. An event ends with a blank line; a line with \n, \r\n or \r.
  // Drops events with a numeric id that is not greater than the last one, since
  // a target that resumes a stream may repeat them.
  std::string Add(std::string_view bytes);

  // Drops the incomplete event; call before another target resumes the stream.
  void Restart();

  // Returns whether the current run has sent something that cannot be passed
  // on: the head of another response, or, resuming a stream with ids, a first
  // event without one. Add returns nothing from there on.
  bool corrupt() const { return this->is_corrupt; }

  // Returns whether a field or an unfinished line has been received after the
  // last complete event. A stream that ends then was broken off: an event needs
  // its blank line.
  bool inside_event() const;
  // Bytes of the incomplete event.
  size_t incomplete_bytes() const { return this->partial.size(); }
  // Removes and returns the comments after the last complete event; call when
  // the target has ended the stream and not inside an event.
  std::string TakeTrailingComments();

  // Id of the last complete event that has one.
  const std::optional<std::string>& last_id() const {
    return this->last_event_id;
  }
  // Number of events that Add has returned, without comments.
  uint64_t events() const { return this->event_count; }

 private:
  // Counts an event unless it is a comment or a repeated one. Returns whether
  // it is to be passed on.
  bool Accept(std::string_view event);

  std::string partial;
  // The last line of `partial` has no bytes so far.
  bool line_empty = true;
  // The last byte was \r, so a following \n belongs to the same line end.
  bool after_cr = false;
  bool is_corrupt = false;
  // No event with an id has come since the restart of a stream with ids.
  bool awaits_id = false;
  // The last complete event has been passed on.
  bool last_accepted = false;
  std::optional<std::string> last_event_id;
  uint64_t event_count = 0;
};

// Follows the bytes of an event stream that are passed on as they arrive. After
// the bytes of an incomplete event nothing may be added to the stream: a reader
// would take it for a part of that event.
class EventBoundary {
 public:
  void Add(std::string_view bytes);
  // Returns whether the stream is empty or ends with a blank line.
  bool reached() const;

 private:
  // The last bytes, enough for two line ends.
  std::string tail;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_EVENT_STREAM_H_
