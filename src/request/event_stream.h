#ifndef SRC_REQUEST_EVENT_STREAM_H_
#define SRC_REQUEST_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celerypost {

// Cuts the body of an event stream into whole events, so that a stream that
// breaks in the middle of one can go on at another target.
class EventStream {
 public:
  // Adds bytes of the body and returns the events that are now whole. Events
  // whose id is not above the last one are left out: the target that goes on
  // with a stream may repeat them.
  std::string Add(std::string_view bytes);

  // Drops the unfinished event, before another target goes on.
  void Restart() { this->partial.clear(); }

  // Bytes of an event that is not finished.
  bool inside_event() const { return !this->partial.empty(); }
  // Takes the unfinished bytes, when the target has ended the stream.
  std::string TakeRest();

  // The id of the last whole event.
  const std::optional<std::string>& last_id() const { return this->last; }
  uint64_t events() const { return this->count; }

 private:
  bool Accept(std::string_view event);

  std::string partial;
  std::optional<std::string> last;
  uint64_t count = 0;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_EVENT_STREAM_H_
