#include "platform/request_codec.h"

#include <limits>

#include "CppUTest/TestHarness.h"

namespace celerypost::platform {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(PlatformRequestCodecTest) {
  PlatformRequestCodec codec;
};

// Guards against a caller that sets its own workspace or target, and against
// forwarding the API key or hop-by-hop headers to a target.
TEST(PlatformRequestCodecTest, ReplacesWhatTheGatewaySets) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/a?b";
  request.body = "body";
  request.headers = {{"host", "h"},
                     {"x-attempt-id", "id1"},
                     {"authorization", "Bearer key"},
                     {"x-tenant", "forged"},
                     {"x-expect-instance", "forged"},
                     {"x-deadline-ms", "6000"},
                     {"path", "10.0.0.1:1=0-16"},
                     {"connection", "keep-alive, x-hop"},
                     {"x-hop", "1"},
                     {"last-event-id", "3"},
                     {"x-model", "m"}};
  TargetRequestInfo call;
  call.deadline_left = milliseconds(4200);
  call.target_id = "i-1";
  call.workspace = WorkspaceName("t1");
  call.last_event_id = "9";
  call.version = 3;
  const HttpRequest sent = this->codec.MakeTargetRequest(request, call);
  const auto value = [&sent](std::string_view name) {
    return std::string(FindHeader(sent.headers, name));
  };
  STRCMP_EQUAL("/a?b", sent.path.c_str());
  STRCMP_EQUAL("body", sent.body.c_str());
  STRCMP_EQUAL("id1", value("x-attempt-id").c_str());
  STRCMP_EQUAL("t1", value("x-tenant").c_str());
  STRCMP_EQUAL("i-1", value("x-expect-instance").c_str());
  STRCMP_EQUAL("3", value("x-expect-version").c_str());
  STRCMP_EQUAL("4200", value("x-deadline-ms").c_str());
  STRCMP_EQUAL("9", value("last-event-id").c_str());
  STRCMP_EQUAL("m", value("x-model").c_str());
  for (const char* const name :
       {"authorization", "path", "connection", "x-hop"}) {
    STRCMP_EQUAL("", value(name).c_str());
  }
}

// Guards against taking the part that belongs to the request itself for a
// shared one.
TEST(PlatformRequestCodecTest, ReadsTheSharedPartsOfThePrompt) {
  const auto parts = [this](const char* list) {
    HttpRequest request;
    request.headers = {{"x-prompt-prefix", list}};
    std::string joined;
    for (const auto& id : this->codec.ReadRequest(request).shared_parts) {
      joined += id + ";";
    }
    return joined;
  };
  STRCMP_EQUAL("5c1e07a2;91bd3f06;",
               parts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250").c_str());
  STRCMP_EQUAL("", parts("e4402b7d:250").c_str());
  STRCMP_EQUAL("", parts("").c_str());
  STRCMP_EQUAL("a;", parts(",a,:3,").c_str());
}

// Guards against forwarding a workspace name that a caller sent on a route that
// needs no API key.
TEST(PlatformRequestCodecTest, SendsNoWorkspaceWithoutAKey) {
  HttpRequest request;
  request.headers = {{"x-tenant", "forged"}};
  const HttpRequest sent = this->codec.MakeTargetRequest(request, {});
  STRCMP_EQUAL("", std::string(FindHeader(sent.headers, "x-tenant")).c_str());
}

// Guards against using malformed numbers, and against using the larger of the
// two estimates of the answer's length.
TEST(PlatformRequestCodecTest, ReadsACallersRequest) {
  HttpRequest request;
  request.headers = {{"x-attempt-id", "id1"},
                     {"authorization", "Bearer key"},
                     {"x-token-counts", "1460,80"},
                     {"x-length-hint", "50"},
                     {"x-deadline-ms", "6000"}};
  const CallerRequestInfo call = this->codec.ReadRequest(request);
  STRCMP_EQUAL("key", call.api_key.c_str());
  CHECK_EQUAL(6000, call.deadline->count());
  DOUBLES_EQUAL(1460, call.prompt_tokens, 1e-9);
  DOUBLES_EQUAL(50, call.answer_tokens, 1e-9);
  request.headers = {{"x-token-counts", "many"}, {"x-deadline-ms", "-1"}};
  const CallerRequestInfo malformed = this->codec.ReadRequest(request);
  CHECK_FALSE(malformed.deadline.has_value());
  DOUBLES_EQUAL(0, malformed.prompt_tokens, 1e-9);
}

// Guards against undefined arithmetic with times that no caller can mean.
TEST(PlatformRequestCodecTest, ReadsNoNumbersThatAreNotFinite) {
  const auto deadline = [this](const char* value) {
    HttpRequest request;
    request.headers = {{"x-deadline-ms", value}, {"x-token-counts", value}};
    const CallerRequestInfo call = this->codec.ReadRequest(request);
    CHECK_TRUE(call.prompt_tokens < std::numeric_limits<int32_t>::max());
    return call.deadline;
  };
  for (const char* const value : {"inf", "nan", "-inf", "1e999", ""}) {
    CHECK_FALSE(deadline(value).has_value());
  }
  CHECK_TRUE(deadline("1e300")->count() > 0);
  CHECK_TRUE(*deadline("1e300") + std::chrono::hours(100) >
             std::chrono::hours(100));
}

// Guards against treating a request that the target refused as run, and one
// that may have run as refused.
TEST(PlatformRequestCodecTest, TellsWhatHasNotRun) {
  CHECK_TRUE(this->codec.ReadAnswer(503, {{"x-not-executed", "1"}}).not_run);
  CHECK_TRUE(this->codec.ReadAnswer(421, {}).not_run);
  STRCMP_EQUAL("i-2", this->codec.ReadAnswer(421, {{"x-instance-id", "i-2"}})
                          .other_target.c_str());
  CHECK_FALSE(this->codec.ReadAnswer(503, {}).not_run);
  CHECK_FALSE(this->codec.ReadAnswer(500, {}).not_run);
}

// Guards against a promise to the caller that the target has not made.
TEST(PlatformRequestCodecTest, TellsRefusalsThatTheTargetDoesNotConfirm) {
  for (const int status : {408, 429, 503}) {
    CHECK_TRUE(this->codec.ReadAnswer(status, {}).unconfirmed_refusal);
    CHECK_FALSE(this->codec.ReadAnswer(status, {{"x-not-executed", "1"}})
                    .unconfirmed_refusal);
  }
  for (const int status : {200, 404, 421, 500, 502, 504}) {
    CHECK_FALSE(this->codec.ReadAnswer(status, {}).unconfirmed_refusal);
  }
}

// Guards against a success that callers do not accept (MIXED, review/4).
TEST(PlatformRequestCodecTest, TellsSuccessesWithoutASignature) {
  const HttpHeaders misspelt = {{"x-response-seam", "3e1b.a"}};
  const HttpHeaders sealed = {{"x-response-seal", "3e1b.a"}};
  const HttpHeaders blank = {{"x-response-seal", " \t"}};
  const HttpHeaders partly_empty = {{"x-response-seal", "3e1b.a"},
                                    {"x-response-seal", ""}};
  for (const int status : {200, 202, 204, 206, 299}) {
    for (const HttpHeaders& headers :
         {HttpHeaders(), misspelt, blank, partly_empty}) {
      CHECK_TRUE(this->codec.ReadAnswer(status, headers).unsigned_success);
    }
    CHECK_FALSE(this->codec.ReadAnswer(status, sealed).unsigned_success);
  }
  for (const int status : {300, 304, 404, 421, 500, 503}) {
    CHECK_FALSE(this->codec.ReadAnswer(status, {}).unsigned_success);
  }
}

// Guards against a target that leaves and is not believed, in whatever answer
// it says so, and against a value that means nothing.
TEST(PlatformRequestCodecTest, ReadsThatATargetLeaves) {
  for (const int status : {200, 206, 404, 421, 500, 503}) {
    CHECK_TRUE(
        this->codec.ReadAnswer(status, {{"server-leaving", "1"}}).leaving);
    CHECK_FALSE(this->codec.ReadAnswer(status, {}).leaving);
  }
  CHECK_TRUE(
      this->codec
          .ReadAnswer(200, {{"server-leaving", " 1 "}, {"server-leaving", "0"}})
          .leaving);
  CHECK_FALSE(this->codec.ReadAnswer(200, {{"server-leaving", "0"}}).leaving);
  for (const char* const value : {"", "yes", "11", "-1", "1, 1", "nan"}) {
    const auto answer =
        this->codec.ReadAnswer(200, {{"server-leaving", value}});
    CHECK_FALSE(answer.leaving);
    CHECK(answer.malformed_header == "server-leaving");
  }
}

// Guards against undefined arithmetic with a time that cannot be read, and
// against the time of an answer that turns nothing away.
TEST(PlatformRequestCodecTest, ReadsForHowLongATargetDeclines) {
  const auto declines = [this](const char* value) {
    const auto answer = this->codec.ReadAnswer(503, {{"retry-after", value}});
    CHECK_EQUAL(!answer.declines_for, !answer.malformed_header.empty());
    return answer.declines_for;
  };
  CHECK_EQUAL(2000, declines("2")->count());
  CHECK_EQUAL(250, declines("0.25")->count());
  CHECK_EQUAL(1, declines("0.0001")->count());
  CHECK_EQUAL(0, declines("0")->count());
  CHECK_EQUAL(3600000, declines(" 3600.0 ")->count());
  const std::string enormous(300, '9');
  CHECK_TRUE(declines(enormous.c_str())->count() > 0);
  for (const char* const value :
       {"", " ", "-1", "+1", "inf", "nan", "1e3", "1.2.3", "2s", ".", "1, 2",
        "0x10", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    CHECK_FALSE_TEXT(declines(value).has_value(), value);
  }
  const std::string over(400, '9');
  CHECK_FALSE(declines(over.c_str()).has_value());
  CHECK_EQUAL(3000, this->codec
                        .ReadAnswer(503, {{"retry-after", "3"},
                                          {"retry-after", "x"},
                                          {"retry-after", "1"}})
                        .declines_for->count());
  CHECK_FALSE(this->codec.ReadAnswer(500, {{"retry-after", "3"}})
                  .declines_for.has_value());
}

// Guards against a Retry-After value that is truncated to whole seconds.
TEST(PlatformRequestCodecTest, WritesFractionsOfASecond) {
  const HttpHeaders own = this->codec.MakeOwnHeaders("id1", milliseconds(450));
  STRCMP_EQUAL("0.450", std::string(FindHeader(own, "retry-after")).c_str());
}

}  // namespace
}  // namespace celerypost::platform
