#include "src/process/delta_codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <zlib.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <memory>
#include <utility>

#include "src/connection/bounded_thrift.h"

namespace celerypost {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr uint32_t kMaxDecodedBytes = 64u << 20;
// Number of bytes of the decoded size that precede the compressed bytes.
constexpr size_t kSizeBytes = 4;
// No compressed byte stands for more than this many bytes in zlib's format.
constexpr size_t kMaxExpansion = 1032;

// Ages are sent as 32 bits; older ones than these hold are cut.
int32_t ToWireAge(std::chrono::milliseconds age) {
  return static_cast<int32_t>(
      std::clamp<int64_t>(age.count(), 0, std::numeric_limits<int32_t>::max()));
}

Failure Corrupt(std::string message) {
  return {Verdict::kNotRun, ErrorCode::kCorrupt, std::move(message)};
}

std::string Compress(const std::string& plain) {
  std::string bytes(kSizeBytes, '\0');
  for (size_t i = 0; i < kSizeBytes; ++i) {
    bytes[i] = static_cast<char>(plain.size() >> (8 * i));
  }
  uLongf length = compressBound(plain.size());
  bytes.resize(kSizeBytes + length);
  // Fails only for a buffer that is too small.
  compress2(reinterpret_cast<Bytef*>(bytes.data() + kSizeBytes), &length,
            reinterpret_cast<const Bytef*>(plain.data()), plain.size(),
            Z_BEST_SPEED);
  bytes.resize(kSizeBytes + length);
  return bytes;
}

Result<std::string> Decompress(const std::string& bytes) {
  if (bytes.size() < kSizeBytes) {
    return tl::unexpected<Failure>(
        Corrupt("document delta of a peer: too short"));
  }
  uint32_t size = 0;
  for (size_t i = 0; i < kSizeBytes; ++i) {
    size |= static_cast<uint32_t>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  }
  if (size > kMaxDecodedBytes ||
      size > (bytes.size() - kSizeBytes) * kMaxExpansion) {
    return tl::unexpected<Failure>(
        Corrupt("document delta of a peer: too large"));
  }
  // One more byte than announced, so that more bytes are an error.
  std::string plain(size_t{size} + 1, '\0');
  uLongf length = plain.size();
  const int status =
      uncompress(reinterpret_cast<Bytef*>(plain.data()), &length,
                 reinterpret_cast<const Bytef*>(bytes.data() + kSizeBytes),
                 bytes.size() - kSizeBytes);
  if (status != Z_OK || length != size) {
    return tl::unexpected<Failure>(
        Corrupt("document delta of a peer: not compressed as expected"));
  }
  plain.resize(size);
  return plain;
}

}  // namespace

std::string EncodeDelta(const DocumentDelta& delta) {
  wire::DocumentDelta message;
  message.partial = delta.partial;
  message.revision = delta.revision;
  message.era = delta.era;
  for (const KeyValue& item : delta.items) {
    wire::DocumentItem entry;
    entry.key = item.key;
    entry.value = item.value;
    entry.revision = item.mod_revision;
    entry.era = item.era;
    message.items.push_back(std::move(entry));
  }
  for (const ReportedNaming& naming : delta.namings) {
    wire::WeightNaming entry;
    entry.model = naming.model;
    entry.version = naming.version;
    entry.named_ms_ago = ToWireAge(naming.named_ago);
    message.namings.push_back(std::move(entry));
  }
  if (delta.current_ago) {
    message.__set_current_ms_ago(ToWireAge(*delta.current_ago));
  }
  if (delta.answers) {
    message.__set_answers(EncodeAnswers(*delta.answers));
  }
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return Compress(buffer->getBufferAsString());
}

Result<DocumentDelta> DecodeDelta(const std::string& bytes) {
  auto plain = Decompress(bytes);
  if (!plain) {
    return tl::unexpected<Failure>(plain.error());
  }
  wire::DocumentDelta message;
  if (const auto read = ReadBoundedThrift(*plain, message); !read) {
    return tl::unexpected<Failure>(
        Corrupt("document delta of a peer: " + read.error().message));
  }
  DocumentDelta delta;
  delta.partial = message.partial;
  delta.revision = message.revision;
  delta.era = message.era;
  for (wire::WeightNaming& naming : message.namings) {
    delta.namings.push_back(
        {std::move(naming.model), naming.version,
         std::chrono::milliseconds(std::max(0, naming.named_ms_ago))});
  }
  if (message.__isset.current_ms_ago) {
    delta.current_ago =
        std::chrono::milliseconds(std::max(0, message.current_ms_ago));
  }
  if (message.__isset.answers) {
    delta.answers = DecodeAnswers(message.answers);
  }
  for (wire::DocumentItem& item : message.items) {
    delta.items.push_back(
        {std::move(item.key), std::move(item.value), item.revision, item.era});
  }
  return delta;
}

wire::ServiceAnswers EncodeAnswers(const ReportedAnswers& answers) {
  wire::ServiceAnswers message;
  message.era = answers.era;
  message.since_ms_ago = ToWireAge(answers.since_ago);
  message.until_ms_ago = ToWireAge(answers.until_ago);
  message.after_outage = answers.after_outage;
  return message;
}

ReportedAnswers DecodeAnswers(const wire::ServiceAnswers& message) {
  return {message.era, std::chrono::milliseconds(message.since_ms_ago),
          std::chrono::milliseconds(message.until_ms_ago),
          message.after_outage};
}

}  // namespace celerypost
