#include "src/version/memory_chunk_store.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(MemoryChunkStoreTest) {
  MemoryChunkStore store{MemoryChunkStoreOptions{.max_bytes = 10}};
  const std::string six = "sixsix";
  const Digest digest = Digest::Of(this->six);
};

// Guards against a corrupt or truncated chunk that becomes part of a set.
TEST(MemoryChunkStoreTest, RejectsContentWithAnotherDigest) {
  CHECK(this->store.Put(this->digest, "sixsiX").error().code ==
        ErrorCode::kCorrupt);
  CHECK(this->store.Put(this->digest, "sixsi").error().code ==
        ErrorCode::kCorrupt);
  CHECK_FALSE(this->store.Has(this->digest));
}

// Guards against chunks that use more memory than the settings allow.
TEST(MemoryChunkStoreTest, LimitsTheBytesHeld) {
  CHECK_TRUE(this->store.Put(this->digest, this->six).has_value());
  CHECK_TRUE(this->store.Put(this->digest, this->six).has_value());
  LONGS_EQUAL(6, this->store.BytesHeld());
  CHECK(this->store.Put(Digest::Of("other"), "other").error().code ==
        ErrorCode::kOverloaded);
  this->store.Drop(this->digest);
  LONGS_EQUAL(0, this->store.BytesHeld());
  CHECK_TRUE(this->store.Put(Digest::Of("other"), "other").has_value());
}

// Guards against a read past the end of a chunk.
TEST(MemoryChunkStoreTest, ReadsRanges) {
  CHECK_TRUE(this->store.Put(this->digest, this->six).has_value());
  CHECK(this->store.Get(this->digest, 4, 10).value() == "ix");
  CHECK(this->store.Get(this->digest, 7, 1).error().code ==
        ErrorCode::kInvalidArgument);
  CHECK(this->store.Get(Digest::Of("x"), 0, 1).error().code ==
        ErrorCode::kNotFound);
}

}  // namespace
}  // namespace celerypost
