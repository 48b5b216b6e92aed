#include "src/connection/frame_codec.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/peak_memory.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

// Returns a frame whose only field `id`, under 16, is a list that claims `size`
// structs, with `content` after the claim.
Frame ListFrame(wire::Kind::type kind,
                uint8_t id,
                uint32_t size,
                const std::string& content) {
  Frame frame;
  frame.header.kind = kind;
  frame.payload = {static_cast<char>(id << 4 | 0x09), '\xFC'};
  for (; size >= 0x80; size >>= 7) {
    frame.payload += static_cast<char>(size | 0x80);
  }
  frame.payload += static_cast<char>(size);
  frame.payload += content;
  return frame;
}

std::vector<Frame> ReadAll(FrameReader* reader, std::string_view bytes) {
  std::vector<Frame> frames;
  const auto result = reader->Append(
      bytes, [&frames](Frame frame) { frames.push_back(std::move(frame)); });
  CHECK_TRUE(result.has_value());
  return frames;
}

std::string PullFrame(const std::string& key) {
  wire::PullDocument message;
  message.key = key;
  return EncodeFrame(wire::Kind::PULL_DOCUMENT, 7, 2, message);
}

TEST_GROUP(FrameCodecTest){};

// Guards against an answer that is matched to another request because the
// request or attempt number was lost in encoding.
TEST(FrameCodecTest, KeepsNumbersAndMessage) {
  FrameReader reader;
  const auto frames = ReadAll(&reader, PullFrame("config"));
  LONGS_EQUAL(1, frames.size());
  LONGS_EQUAL(7, frames[0].header.request);
  LONGS_EQUAL(2, frames[0].header.attempt);
  const auto message = DecodeMessage<wire::PullDocument>(frames[0]);
  CHECK_TRUE(message.has_value());
  CHECK(message->key == "config");
}

// Guards against frames that are lost or split when TCP delivers them byte by
// byte or several at a time.
TEST(FrameCodecTest, AcceptsAnySegmentation) {
  const std::string bytes = PullFrame("a") + PullFrame("b");
  FrameReader reader;
  size_t count = 0;
  for (const char byte : bytes) {
    count += ReadAll(&reader, std::string_view(&byte, 1)).size();
  }
  LONGS_EQUAL(2, count);
  LONGS_EQUAL(2, ReadAll(&reader, bytes).size());
}

// Guards against a process that ends with an exhausted stack on an unknown
// field of nested lists or maps.
TEST(FrameCodecTest, RejectsNestedUnknownFields) {
  // A field of a list that holds one list, and of a map that holds one map.
  for (const auto& [field, nested] :
       {std::pair{"\xF9", "\x19"}, std::pair{"\xFB", "\x01\xBB\x01\xBB"}}) {
    std::string bytes = PullFrame("a");
    bytes.pop_back();
    bytes += field;
    for (size_t i = 0; i < 500'000; ++i) {
      bytes += nested;
    }
    const size_t length = bytes.size() - 4;
    for (size_t i = 0; i < 4; ++i) {
      bytes[i] = static_cast<char>(length >> (8 * (3 - i)));
    }
    FrameReader reader;
    std::vector<Frame> frames;
    const auto result = reader.Append(
        bytes, [&frames](Frame frame) { frames.push_back(std::move(frame)); });
    CHECK_TRUE(!result.has_value() ||
               !DecodeMessage<wire::PullDocument>(frames.at(0)).has_value());
  }
}

// Guards against a forged length that makes the process allocate memory.
TEST(FrameCodecTest, RejectsOversizedLength) {
  FrameReader reader;
  const auto result = reader.Append("\x7f\xff\xff\xff", [](Frame) {});
  CHECK_FALSE(result.has_value());
  CHECK(result.error().message.find("2147483647") != std::string::npos);
  CHECK_FALSE(reader.Append("", [](Frame) {}).has_value());
}

// Guards against a few bytes that claim a long list, for which memory is taken
// before its elements are read.
TEST(FrameCodecTest, AListThatItsFrameCannotHoldTakesNoMemory) {
  const PeakMemory peak;
  constexpr uint32_t kClaimed = kMaxFrameBytes;
  const auto heartbeat = [](uint8_t field) {
    return DecodeMessage<wire::Heartbeat>(
               ListFrame(wire::Kind::HEARTBEAT, field, kClaimed, "rest"))
        .has_value();
  };
  CHECK_FALSE(heartbeat(1));
  CHECK_FALSE(heartbeat(2));
  CHECK_FALSE(heartbeat(3));
  CHECK_FALSE(DecodeMessage<wire::HandOff>(
                  ListFrame(wire::Kind::HAND_OFF, 6, kClaimed, "rest"))
                  .has_value());
  CHECK_COMPARE(peak.Growth(), <, kMaxFrameBytes);
}

// Guards against elements of one byte, each of which takes hundreds in memory.
TEST(FrameCodecTest, AListOfEmptyStructsTakesNoMemory) {
  constexpr uint32_t kClaimed = kMaxFrameBytes - 64;
  const Frame frame = ListFrame(wire::Kind::HEARTBEAT, 2, kClaimed,
                                std::string(kClaimed + 1, '\0'));
  const PeakMemory peak;
  CHECK_FALSE(DecodeMessage<wire::Heartbeat>(frame).has_value());
  CHECK_COMPARE(peak.Growth(), <, kMaxFrameBytes);
}

// Guards against a bound that refuses the records of a full ledger.
TEST(FrameCodecTest, AcceptsTheLargestHandOff) {
  constexpr size_t kMaxLedgerRecords = 65536;
  wire::HandOff message;
  message.records.resize(kMaxLedgerRecords);
  FrameReader reader;
  const auto frames =
      ReadAll(&reader, EncodeFrame(wire::Kind::HAND_OFF, 0, 1, message));
  const auto decoded = DecodeMessage<wire::HandOff>(frames.at(0));
  CHECK_TRUE(decoded.has_value());
  CHECK_EQUAL(kMaxLedgerRecords, decoded->records.size());
}

// Guards against bytes of another protocol being taken for messages.
TEST(FrameCodecTest, RejectsMalformedHeader) {
  FrameReader reader;
  const std::string bytes("\x00\x00\x00\x04\xff\xff\xff\xff", 8);
  CHECK_FALSE(reader.Append(bytes, [](Frame) {}).has_value());
}

// Guards against decoding a message of another protocol version as one of this
// version.
TEST(FrameCodecTest, RejectsOtherVersion) {
  std::string bytes = PullFrame("config");
  // Byte 5 holds the zigzag-encoded version, after the length and the field
  // header.
  bytes[5] = 0x12;
  FrameReader reader;
  const auto result = reader.Append(bytes, [](Frame) {});
  CHECK_FALSE(result.has_value());
  CHECK(result.error().message.find("header.version 9") != std::string::npos);
}

// Guards against a truncated message that is accepted with default values.
TEST(FrameCodecTest, RejectsTruncatedMessage) {
  FrameReader reader;
  auto frames = ReadAll(&reader, PullFrame("configuration"));
  frames[0].payload.resize(frames[0].payload.size() - 3);
  CHECK_FALSE(DecodeMessage<wire::PullDocument>(frames[0]).has_value());
}

}  // namespace
}  // namespace celerypost
