#ifndef SRC_CONNECTION_FRAME_CODEC_H_
#define SRC_CONNECTION_FRAME_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "celerypost/verdict.h"
#include "messages_types.h"

namespace celerypost {

// Largest frame body in bytes: four times a chunk of weights (at most 1 MiB),
// so that a chunk and its header always fit.
inline constexpr size_t kMaxFrameBytes = 4u << 20;

// One decoded frame: the header and the undecoded message that follows it.
struct Frame {
  wire::Header header;
  std::string payload;
};

// Returns `message` as a complete frame: a 4-byte big-endian length, the header
// and the message, both in Thrift's compact protocol.
template <typename Message>
std::string EncodeFrame(wire::Kind::type kind,
                        int64_t request,
                        int32_t attempt,
                        const Message& message);

// Decodes the message of `frame`. Fails with kInvalidArgument when the bytes
// are not exactly one message of that type.
template <typename Message>
Result<Message> DecodeMessage(const Frame& frame);

// Splits a stream of bytes into frames.
class FrameReader {
 public:
  // Appends bytes from the stream and calls `on_frame` for each whole frame.
  // Fails with kInvalidArgument on a frame longer than kMaxFrameBytes, before
  // memory for it is allocated, on a malformed header, and on a protocol
  // version other than wire::PROTOCOL_VERSION. The connection must then be
  // closed; later calls fail too.
  Result<void> Append(std::string_view bytes,
                      const std::function<void(Frame)>& on_frame);

 private:
  std::string buffer;
  bool failed = false;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_FRAME_CODEC_H_
