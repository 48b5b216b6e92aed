#include "src/version/staged_copy.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(StagedCopyTest) {
  StagedCopyOptions options;
  TimePoint start{std::chrono::seconds(100)};
  StagedCopy copy{this->options, this->start};

  void setup() override {
    this->copy.Reset(3, this->start);
  }
  TimePoint At(int64_t ms) const {
    return this->start + milliseconds(ms);
  }
  void ReadAll(int64_t ms) {
    for (size_t i = 0; i < 3; ++i) {
      this->copy.OnGood(i, this->At(ms));
    }
  }
};

// Guards against a check whose age counts from its end.
TEST(StagedCopyTest, AgesCountFromTheStartOfTheOldestRead) {
  CHECK_FALSE(this->copy.GoodSince().has_value());
  this->copy.OnGood(0, this->At(4000));
  this->copy.OnGood(1, this->At(5000));
  this->copy.OnGood(2, this->At(7000));
  CHECK_TRUE(this->At(4000) == *this->copy.GoodSince());
  const std::vector<size_t> unproven = this->copy.UnprovenAt(this->At(7200));
  CHECK_EQUAL(1u, unproven.size());
  CHECK_EQUAL(0u, unproven.front());
}

TEST(StagedCopyTest, ALaterReadRenewsAChunkAndAnEarlierOneDoesNot) {
  this->ReadAll(4000);
  this->copy.OnGood(0, this->At(8000));
  this->copy.OnGood(0, this->At(5000));
  CHECK_EQUAL(2u, this->copy.NotGoodSince(this->At(8000)).size());
}

// Guards against a read of what a chunk held before it was written again.
TEST(StagedCopyTest, AReadThatBeganBeforeAWriteProvesNothing) {
  this->ReadAll(4000);
  this->copy.OnChanged(1, this->At(4100));
  this->copy.OnGood(1, this->At(4050));
  CHECK_EQUAL(1u, this->copy.NotGoodSince(this->start).size());
  this->copy.OnGood(1, this->At(4100));
  CHECK_TRUE(this->copy.NotGoodSince(this->start).empty());
}

// Guards against a write without an answer that is carried out after the reads.
TEST(StagedCopyTest, NothingReadBeforeTheLoadProvesItWhileAWriteIsUnsettled) {
  this->ReadAll(2900);
  CHECK_EQUAL(3u, this->copy.UnprovenAt(this->At(2950)).size());
  this->ReadAll(3000);
  CHECK_TRUE(this->copy.UnprovenAt(this->At(3000)).empty());
  this->copy.OnWriteUnanswered(this->At(3010));
  CHECK_EQUAL(3u, this->copy.UnprovenAt(this->At(3100)).size());
  this->ReadAll(3100);
  CHECK_TRUE(this->copy.UnprovenAt(this->At(3100)).empty());
  CHECK_TRUE(this->copy.UnprovenAt(this->At(3100)).empty());
}

TEST(StagedCopyTest, AResetForgetsAllReads) {
  this->ReadAll(4000);
  this->copy.Reset(5, this->At(4100));
  CHECK_EQUAL(5u, this->copy.NotGoodSince(this->start).size());
}

}  // namespace
}  // namespace celerypost
