#include "src/request/event_stream.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

TEST_GROUP(EventStreamTest) {
  EventStream stream;
};

// Guards against a partial event that reaches the caller before its target
// breaks off.
TEST(EventStreamTest, HoldsBackTheUnfinishedEvent) {
  STRCMP_EQUAL("", this->stream.Add("id: 1\ndata: a").c_str());
  STRCMP_EQUAL("id: 1\ndata: a\n\n", this->stream.Add("\n\nid: 2").c_str());
  CHECK_TRUE(this->stream.inside_event());
  STRCMP_EQUAL("1", this->stream.last_id()->c_str());
}

// Guards against an event that is repeated or lost when another target resumes
// the stream.
TEST(EventStreamTest, LeavesOutEventsThatTheCallerHas) {
  this->stream.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  this->stream.Restart();
  STRCMP_EQUAL(
      "id: 3\ndata: c\n\n",
      this->stream.Add("id: 2\ndata: b\n\nid: 3\ndata: c\n\n").c_str());
  CHECK_EQUAL(3u, this->stream.events());
}

// Guards against dropping the events of a stream without ids.
TEST(EventStreamTest, PassesEventsWithoutIds) {
  STRCMP_EQUAL("data: a\n\ndata: b\n\n",
               this->stream.Add("data: a\n\ndata: b\n\n").c_str());
  CHECK_FALSE(this->stream.last_id().has_value());
}

// Guards against a stalled stream that never ends since its target sends a
// comment or a byte now and then: these are passed on but are no progress.
TEST(EventStreamTest, CommentsAndPartsOfAnEventAreNoProgress) {
  EventStream stream;
  STRCMP_EQUAL(": ping\n\n", stream.Add(": ping\n\n").c_str());
  STRCMP_EQUAL("", stream.Add("id: 1\nda").c_str());
  CHECK_EQUAL(0u, stream.events());
  stream.Add("ta: x\n\n");
  CHECK_EQUAL(1u, stream.events());
}

}  // namespace
}  // namespace celerypost
