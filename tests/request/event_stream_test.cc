#include "src/request/event_stream.h"

#include <string>

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

// Guards against a stream with \r\n or \r line ends that is held back as one
// event.
TEST(EventStreamTest, RecognisesAllLineEnds) {
  for (const std::string end : {"\n", "\r\n", "\r"}) {
    for (const std::string blank : {"\n", "\r\n", "\r"}) {
      if (end == "\r" && blank == "\n") {
        continue;  // The two are one line end.
      }
      std::string first = "id: 1" + end + "data: a" + end;
      first += blank;
      const std::string bytes = first + "id: 2" + end + "data: b";
      EventStream whole;
      STRCMP_EQUAL(first.c_str(), whole.Add(bytes).c_str());
      STRCMP_EQUAL("1", whole.last_id()->c_str());
      CHECK_EQUAL(1u, whole.events());
      for (size_t cut = 0; cut <= bytes.size(); ++cut) {
        EventStream cut_stream;
        std::string out = cut_stream.Add(bytes.substr(0, cut));
        out += cut_stream.Add(bytes.substr(cut));
        STRCMP_EQUAL(first.c_str(), out.c_str());
        CHECK_EQUAL(1u, cut_stream.events());
      }
    }
  }
}

// Guards against the two bytes of \r\n that are taken for a blank line.
TEST(EventStreamTest, ACrLfIsOneLineEnd) {
  STRCMP_EQUAL("", this->stream.Add("id: 1\r").c_str());
  STRCMP_EQUAL("", this->stream.Add("\n").c_str());
  STRCMP_EQUAL("", this->stream.Add("data: a\r\n").c_str());
  CHECK_TRUE(this->stream.inside_event());
}

// Guards against an event that waits for the byte after its blank line.
TEST(EventStreamTest, AnEventEndsWithTheFirstByteOfItsBlankLine) {
  STRCMP_EQUAL("id: 1\r\n\r", this->stream.Add("id: 1\r\n\r").c_str());
  CHECK_FALSE(this->stream.inside_event());
  STRCMP_EQUAL("\nid: 2\r\r", this->stream.Add("\nid: 2\r\r").c_str());
}

// Guards against bytes of a repeated event that reach the caller.
TEST(EventStreamTest, LeavesOutTheLineEndOfARepeatedEvent) {
  this->stream.Add("id: 1\r\n\r\nid: 2\r\n\r\n");
  this->stream.Restart();
  std::string out = this->stream.Add("id: 2\r\n\r");
  out += this->stream.Add("\nid: 3\r\n\r\n");
  STRCMP_EQUAL("id: 3\r\n\r\n", out.c_str());
  CHECK_EQUAL(3u, this->stream.events());
}

// Guards against a line end that is taken for the rest of the previous run's.
TEST(EventStreamTest, ARestartForgetsTheLastByte) {
  this->stream.Add("id: 1\r\n\r");
  this->stream.Restart();
  STRCMP_EQUAL("\n", this->stream.Add("\n").c_str());
  STRCMP_EQUAL("", this->stream.Add("da").c_str());
  this->stream.Restart();
  STRCMP_EQUAL("\n", this->stream.Add("\n").c_str());
}

// Guards against the text of an error that is taken for the rest of a stream.
TEST(EventStreamTest, AnEventWithoutAnIdResumesNoStreamWithIds) {
  this->stream.Add("id: 1\ndata: a\n\n");
  this->stream.Restart();
  STRCMP_EQUAL(": c\n\n", this->stream.Add(": c\n\noops\n\n").c_str());
  CHECK_TRUE(this->stream.corrupt());
  STRCMP_EQUAL("", this->stream.Add("id: 2\ndata: b\n\n").c_str());
  this->stream.Restart();
  STRCMP_EQUAL("id: 2\n\ndata: x\n\n",
               this->stream.Add("id: 2\n\ndata: x\n\n").c_str());
  CHECK_FALSE(this->stream.corrupt());
}

// Guards against the head of another response that is taken for an event.
TEST(EventStreamTest, AStatusLineIsNoEvent) {
  STRCMP_EQUAL("id: 1\ndata: HTTP/1.1 200 OK\n\n",
               this->stream
                   .Add("id: 1\ndata: HTTP/1.1 200 OK\n\n"
                        "HTTP/1.1 500 Oops\r\nX-A: b\r\n\r\noops\n\n")
                   .c_str());
  CHECK_TRUE(this->stream.corrupt());
}

// Guards against a stream without the rest of an event that looks complete.
TEST(EventStreamTest, AnEventWithoutItsBlankLineIsIncomplete) {
  for (const std::string rest :
       {"id: 2", "id: 2\n", "id: 2\r", "id: 2\r\n", ": c\nid: 2\n", ": c"}) {
    EventStream stream;
    stream.Add("id: 1\n\n" + rest);
    CHECK_TRUE(stream.inside_event());
  }
}

// Guards against a whole stream that is taken for broken off.
TEST(EventStreamTest, BlankLinesAndCommentsAreNoEvent) {
  for (const std::string rest :
       {"", "\n", "\r", "\r\n", "\n\n\n", ": c\n", ": c\r\n: d\r\n"}) {
    EventStream stream;
    std::string out = stream.Add("id: 1\n\n" + rest);
    CHECK_FALSE(stream.inside_event());
    out += stream.TakeTrailingComments();
    STRCMP_EQUAL(("id: 1\n\n" + rest).c_str(), out.c_str());
  }
}

// Guards against the text of an error that is joined to an incomplete event.
TEST(EventStreamTest, ABoundaryIsReachedOnlyAfterABlankLine) {
  for (const std::string whole :
       {"", "id: 1\n\n", "id: 1\r\n\r\n", "id: 1\r\r", "id: 1\n\r\n", "\n",
        "\r\n", "id: 1\n\n: c\n\n"}) {
    for (const std::string part : {"", "i", "id: 2", "id: 2\n", "id: 2\r\n"}) {
      EventBoundary at_once;
      at_once.Add(whole + part);
      EventBoundary by_bytes;
      for (const char c : whole + part) {
        by_bytes.Add({&c, 1});
      }
      CHECK_EQUAL(part.empty(), at_once.reached());
      CHECK_EQUAL(part.empty(), by_bytes.reached());
    }
  }
}

}  // namespace
}  // namespace celerypost
