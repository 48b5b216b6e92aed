#include "src/process/origin_client.h"

#include <functional>
#include <optional>
#include <string>

#include "tests/process/fake_http_server.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(OriginClientTest) {
  FakeHttpServer origin;
  std::optional<TransferResult> result;

  const TransferResult& Range() {
    this->result.reset();
    OriginClient client(this->origin.loop, this->origin.address(), {});
    const auto transfer = client.RequestRange(
        Digest::Of("a"), 10, 4,
        [this](TransferResult answer) { this->result = std::move(answer); });
    this->origin.RunUntil([this] { return this->result.has_value(); });
    return *this->result;
  }
};

// Guards against a range that is off by one, and against taking a truncated
// answer for a chunk.
TEST(OriginClientTest, AsksForTheRangeAndChecksItsLength) {
  this->origin.status = 206;
  this->origin.body = "four";
  CHECK(Range().value() == "four");
  CHECK(FindHeader(this->origin.requests[0].headers, "range") == "bytes=10-13");
  CHECK(this->origin.requests[0].path ==
        "/artefacts/" + Digest::Of("a").ToHex());
  this->origin.body = "fou";
  CHECK(Range().error().code == ErrorCode::kCorrupt);
  // An origin that ignores the range sends other bytes.
  this->origin.status = 200;
  this->origin.body = "four";
  CHECK_FALSE(Range().has_value());
}

// Guards against retrying a refused request before the origin permits it.
TEST(OriginClientTest, ReadsRetryAfter) {
  this->origin.status = 429;
  this->origin.headers = {{"retry-after", "3"}};
  const TransferFailure refused = Range().error();
  CHECK(refused.code == ErrorCode::kOverloaded);
  CHECK(refused.retry_after == milliseconds(3000));
  this->origin.headers = {{"retry-after", "soon"}};
  CHECK_FALSE(Range().error().retry_after.has_value());
  this->origin.status = 404;
  CHECK(Range().error().code == ErrorCode::kNotFound);
}

// Guards against a callback after the transfer was cancelled.
TEST(OriginClientTest, DestroyedTransferIsSilent) {
  OriginClient client(this->origin.loop, this->origin.address(), {});
  auto transfer = client.RequestIndex(
      Digest::Of("i"),
      [this](TransferResult answer) { this->result = std::move(answer); });
  transfer.reset();
  for (int i = 0; i < 5; ++i) {
    this->origin.loop.RunFor(milliseconds(10));
  }
  CHECK_FALSE(this->result.has_value());
}

// Guards against use after free: the weight task destroys a transfer in its
// callback.
TEST(OriginClientTest, CallbackMayDestroyItsTransfer) {
  OriginClient client(this->origin.loop, this->origin.address(), {});
  this->origin.body = "{}";
  std::unique_ptr<Transfer> transfer;
  transfer = client.RequestIndex(Digest::Of("i"), [&](TransferResult answer) {
    transfer.reset();
    this->result = std::move(answer);
  });
  this->origin.RunUntil([this] { return this->result.has_value(); });
  CHECK(this->result->value() == "{}");
}

}  // namespace
}  // namespace celerypost
