#include "src/connection/bounded_thrift.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/protocol/TProtocolException.h>
#include <thrift/transport/TBufferTransports.h>

namespace celerypost {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::protocol::TProtocolException;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;

// Each struct in a list of messages.thrift has at least two fields that are
// always written, with two bytes or more, and ends with a byte.
constexpr size_t kMinStructBytes = 5;

// Thrift resizes a list to its claimed size before it reads the elements, and
// takes a struct to need no bytes. Sets and maps grow with the elements read.
class BoundedProtocol : public TCompactProtocolT<TMemoryBuffer> {
 public:
  // `limit`, in bytes, is the longest string that can be claimed.
  BoundedProtocol(std::shared_ptr<TMemoryBuffer> buffer, int32_t limit)
      : TCompactProtocolT<TMemoryBuffer>(buffer, limit, limit),
        buffer(std::move(buffer)) {}

  uint32_t readListBegin_virt(TType& type, uint32_t& size) override {
    const uint32_t read = this->readListBegin(type, size);
    const size_t element_bytes =
        type == apache::thrift::protocol::T_STRUCT ? kMinStructBytes : 1;
    if (size > std::min(this->buffer->available_read() / element_bytes,
                        kMaxListElements)) {
      throw TProtocolException(
          TProtocolException::SIZE_LIMIT,
          "a list of " + std::to_string(size) + " elements in " +
              std::to_string(this->buffer->available_read()) + " bytes");
    }
    return read;
  }

 private:
  const std::shared_ptr<TMemoryBuffer> buffer;
};

}  // namespace

Result<size_t> ReadBoundedThrift(std::string_view bytes,
                                 apache::thrift::TBase& message) {
  // The buffer only observes the bytes and never writes to them.
  auto* data =
      reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));  // NOLINT
  BoundedProtocol protocol(
      std::make_shared<TMemoryBuffer>(data, static_cast<uint32_t>(bytes.size()),
                                      TMemoryBuffer::OBSERVE),
      static_cast<int32_t>(bytes.size()));
  try {
    return message.read(&protocol);
  } catch (const std::exception& error) {
    return NotRun(ErrorCode::kInvalidArgument,
                  std::string("malformed message: ") + error.what());
  }
}

}  // namespace celerypost
