#include "src/connection/frame_codec.h"

#include <memory>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "messages_constants.h"
#include "src/connection/bounded_thrift.h"

namespace celerypost {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr size_t kLengthBytes = 4;

uint32_t ReadLength(std::string_view bytes) {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = length << 8 | static_cast<uint8_t>(bytes[i]);
  }
  return length;
}

}  // namespace

template <typename Message>
std::string EncodeFrame(wire::Kind::type kind,
                        int64_t request,
                        int32_t attempt,
                        const Message& message) {
  wire::Header header;
  header.version = wire::g_messages_constants.PROTOCOL_VERSION;
  header.kind = kind;
  header.request = request;
  header.attempt = attempt;
  auto transport = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(transport);
  const uint8_t placeholder[kLengthBytes] = {0, 0, 0, 0};
  transport->write(placeholder, kLengthBytes);
  header.write(&protocol);
  message.write(&protocol);
  std::string frame = transport->getBufferAsString();
  const auto length = static_cast<uint32_t>(frame.size() - kLengthBytes);
  for (size_t i = 0; i < kLengthBytes; ++i) {
    frame[i] = static_cast<char>(length >> (8 * (kLengthBytes - 1 - i)));
  }
  return frame;
}

template <typename Message>
Result<Message> DecodeMessage(const Frame& frame) {
  Message message;
  const auto consumed = ReadBoundedThrift(frame.payload, message);
  if (!consumed) {
    return tl::unexpected<Failure>(consumed.error());
  }
  if (*consumed != frame.payload.size()) {
    return NotRun(ErrorCode::kInvalidArgument,
                  "malformed message: " +
                      std::to_string(frame.payload.size() - *consumed) +
                      " bytes after its end");
  }
  return message;
}

Result<void> FrameReader::Append(std::string_view bytes,
                                 const std::function<void(Frame)>& on_frame) {
  if (this->failed) {
    return NotRun(ErrorCode::kInvalidArgument, "the stream has failed before");
  }
  this->buffer.append(bytes);
  size_t start = 0;
  while (this->buffer.size() - start >= kLengthBytes) {
    const auto rest = std::string_view(this->buffer).substr(start);
    const uint32_t length = ReadLength(rest);
    if (length > kMaxFrameBytes) {
      this->failed = true;
      return NotRun(ErrorCode::kInvalidArgument,
                    "frame length " + std::to_string(length) +
                        " is over the limit of " +
                        std::to_string(kMaxFrameBytes) + " bytes");
    }
    if (rest.size() < kLengthBytes + length) {
      break;
    }
    const auto body = rest.substr(kLengthBytes, length);
    wire::Header header;
    const auto consumed = ReadBoundedThrift(body, header);
    if (!consumed) {
      this->failed = true;
      return tl::unexpected<Failure>(consumed.error());
    }
    if (header.version != wire::g_messages_constants.PROTOCOL_VERSION) {
      this->failed = true;
      return NotRun(
          ErrorCode::kInvalidArgument,
          "header.version " + std::to_string(header.version) +
              " is not supported; expected " +
              std::to_string(wire::g_messages_constants.PROTOCOL_VERSION));
    }
    Frame frame{std::move(header), std::string(body.substr(*consumed))};
    start += kLengthBytes + length;
    on_frame(std::move(frame));
  }
  this->buffer.erase(0, start);
  return {};
}

#define CELERYPOST_INSTANTIATE_MESSAGE(Message)                  \
  template std::string EncodeFrame<wire::Message>(               \
      wire::Kind::type, int64_t, int32_t, const wire::Message&); \
  template Result<wire::Message> DecodeMessage<wire::Message>(const Frame&);

CELERYPOST_INSTANTIATE_MESSAGE(Hello)
CELERYPOST_INSTANTIATE_MESSAGE(Heartbeat)
CELERYPOST_INSTANTIATE_MESSAGE(PullDocument)
CELERYPOST_INSTANTIATE_MESSAGE(Document)
CELERYPOST_INSTANTIATE_MESSAGE(Work)
CELERYPOST_INSTANTIATE_MESSAGE(WorkHead)
CELERYPOST_INSTANTIATE_MESSAGE(WorkBody)
CELERYPOST_INSTANTIATE_MESSAGE(WorkEnd)
CELERYPOST_INSTANTIATE_MESSAGE(CancelWork)
CELERYPOST_INSTANTIATE_MESSAGE(HandOff)
CELERYPOST_INSTANTIATE_MESSAGE(HandOffDone)
CELERYPOST_INSTANTIATE_MESSAGE(PullChunk)
CELERYPOST_INSTANTIATE_MESSAGE(Chunk)
CELERYPOST_INSTANTIATE_MESSAGE(HaveChunks)
CELERYPOST_INSTANTIATE_MESSAGE(LoadReport)

#undef CELERYPOST_INSTANTIATE_MESSAGE

}  // namespace celerypost
