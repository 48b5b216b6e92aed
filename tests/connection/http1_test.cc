#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "src/connection/http1_client.h"
#include "src/connection/http1_server.h"
#include "tests/connection/raw_server.h"

#include "CppUTest/TestHarness.h"

namespace celerypost {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxIterations = 200;

TEST_GROUP(Http1Test) {
  Loop loop;
  MemoryBudget memory{loop, {}, {}};

  Result<HttpResponse> Fetch(Http1Client & client,
                             Http1SendOptions options = {}) {
    Result<HttpResponse> result = NotRun(ErrorCode::kInternal, "no answer");
    HttpResponse collected;
    bool done = false;
    HttpResponseCallbacks callbacks;
    callbacks.on_head = [&](const HttpResponseHead& head) {
      collected.status = head.status;
      collected.headers = head.headers;
    };
    callbacks.on_body = [&](std::string_view bytes) {
      collected.body.append(bytes);
    };
    callbacks.on_end = [&] {
      result = collected;
      done = true;
    };
    callbacks.on_failure = [&](Failure failure) {
      result = tl::unexpected<Failure>(std::move(failure));
      done = true;
    };
    const auto call = client.Send({this->method, "/", {}, this->body},
                                  std::move(options), callbacks);
    if (this->pause_after_send.count() > 0) {
      this->loop.RunFor(milliseconds(20));
      this->loop.RunFor(milliseconds(20));
      std::this_thread::sleep_for(this->pause_after_send);
    }
    for (int i = 0; i < kMaxIterations && !done; ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    return result;
  }

  // Closed handles are freed by the loop.
  void teardown() override {
    this->loop.RunFor(milliseconds(20));
  }

  std::string method = "GET";
  std::string body;
  milliseconds pause_after_send{0};
};

// Guards against calls that fail one after the other on idle connections that
// have all gone silent.
TEST(Http1Test, ClosesIdleConnectionsWhenARequestTimesOut) {
  std::vector<std::shared_ptr<HttpResponder>> waiting;
  auto made = Http1Server::Make(
      this->loop, "127.0.0.1", 0, this->memory,
      [&waiting](const HttpRequest&,
                 const std::shared_ptr<HttpResponder>& responder) {
        waiting.push_back(responder);
      });
  CHECK_TRUE(made.has_value());
  Http1Client client(this->loop, {"127.0.0.1", (*made)->port()}, {});
  std::vector<Result<HttpResponse>> results;
  std::vector<std::unique_ptr<HttpCall>> calls;
  const auto fetch = [&](milliseconds timeout) {
    calls.push_back(client.Fetch(
        {"GET", "/", {}, ""}, timeout,
        [&results](const Result<HttpResponse>& r) { results.push_back(r); }));
  };
  const auto run_until = [&](const std::function<bool()>& done) {
    for (int i = 0; i < kMaxIterations && !done(); ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE(done());
  };
  fetch(milliseconds(1000));
  fetch(milliseconds(1000));
  run_until([&] { return waiting.size() == 2; });
  for (const auto& responder : waiting) {
    responder->Send(200, {}, "");
  }
  run_until([&] { return results.size() == 2; });
  CHECK_EQUAL(2u, client.connections_opened());
  fetch(milliseconds(50));
  run_until([&] { return results.size() == 3; });
  CHECK_FALSE(results.back().has_value());
  fetch(milliseconds(1000));
  run_until([&] { return waiting.size() == 4; });
  CHECK_EQUAL(3u, client.connections_opened());
  waiting.back()->Send(200, {}, "");
  run_until([&] { return results.size() == 4; });
  CHECK_TRUE(results.back().has_value());
}

// Guards against treating a response without a length as complete although its
// server crashed. libuv hides the reset when it arrives with the last bytes.
TEST(Http1Test, TellsResetFromEndOfResponseWithoutLength) {
  RawServer server([](int descriptor) {
    std::this_thread::sleep_for(milliseconds(100));
    ResetOnClose(descriptor);
    Send(descriptor, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of");
  });
  Http1Client client(this->loop, server.address(), {});
  // The loop does not run while the bytes and the reset arrive, so that it
  // finds both at once.
  this->pause_after_send = milliseconds(250);
  const auto response = this->Fetch(client);
  CHECK_FALSE(response.has_value());
  CHECK_TRUE(response.error().verdict == Verdict::kMayHaveRun);
}

// Guards against refusing a response that ends with its connection.
TEST(Http1Test, AcceptsResponseThatEndsWithItsConnection) {
  RawServer server([](int descriptor) {
    Send(descriptor, "HTTP/1.1 200 OK\r\n\r\nwhole");
    shutdown(descriptor, SHUT_WR);
    char rest[16];
    while (read(descriptor, rest, sizeof(rest)) > 0) {
    }
  });
  Http1Client client(this->loop, server.address(), {});
  const auto response = this->Fetch(client);
  CHECK_TRUE(response.has_value());
  STRCMP_EQUAL("whole", response->body.c_str());
}

constexpr size_t kUploadBytes = 3u << 20;
constexpr char kEarlyPart[] = "HTTP/1.1 200 OK\r\n\r\npart";

// Guards against a part of a response without a length that counts as complete
// since its server resets the connection only after it has ended its side: the
// rest of the request is unread.
TEST(Http1Test, FailsAResponseWithoutLengthWhoseServerDropsTheUpload) {
  struct Case {
    size_t upload_bytes;
    size_t read_bytes;
  };
  this->method = "POST";
  for (const Case& each : {Case{kUploadBytes, 0}, Case{kUploadBytes, 64u << 10},
                           Case{kUploadBytes, 1u << 20}, Case{300u << 10, 0},
                           // The server's system takes all of these.
                           Case{50u << 10, 0}, Case{20u << 10, 0}}) {
    this->body = std::string(each.upload_bytes, 'x');
    for (const milliseconds pause :
         {milliseconds(0), milliseconds(20), milliseconds(300)}) {
      RawServer server([&](int descriptor) {
        Discard(descriptor, each.read_bytes);
        Send(descriptor, kEarlyPart);
        shutdown(descriptor, SHUT_WR);
        std::this_thread::sleep_for(pause);
      });
      Http1Client client(this->loop, server.address(), {});
      const auto result = this->Fetch(client);
      const std::string name = std::to_string(each.read_bytes) + " of " +
                               std::to_string(each.upload_bytes) +
                               " bytes read, reset after " +
                               std::to_string(pause.count()) + " ms";
      CHECK_FALSE_TEXT(result.has_value(), name.c_str());
      CHECK_TRUE_TEXT(result.error().verdict == Verdict::kMayHaveRun,
                      name.c_str());
    }
  }
}

// Guards against a reset that only the upload sees: a failed write takes the
// error of the socket, whose reads then end without one.
TEST(Http1Test, FailsAResponseWithoutLengthThatIsResetDuringTheUpload) {
  this->method = "POST";
  this->body = std::string(kUploadBytes, 'x');
  for (int i = 0; i < 30; ++i) {
    RawServer server([&](int descriptor) {
      Send(descriptor, kEarlyPart);
      if (i % 2 == 1) {
        Discard(descriptor, size_t{64} << 10);
      }
      ResetOnClose(descriptor);
    });
    Http1Client client(this->loop, server.address(), {});
    this->pause_after_send = milliseconds(i % 3 == 2 ? 5 : 0);
    const auto result = this->Fetch(client);
    CHECK_FALSE(result.has_value());
    CHECK_TRUE(result.error().verdict == Verdict::kMayHaveRun);
  }
}

// Guards against the same where the client does not read the response when the
// write fails.
TEST(Http1Test, FailsAResponseWithoutLengthThatIsResetWhileReadingIsPaused) {
  RawServer server([](int descriptor) {
    Send(descriptor, kEarlyPart);
    std::this_thread::sleep_for(milliseconds(100));
    Send(descriptor, "of the body");
    ResetOnClose(descriptor);
  });
  Http1Client client(this->loop, server.address(), {});
  std::unique_ptr<HttpCall> call;
  HttpResponseCallbacks callbacks;
  bool ended = false;
  std::optional<Failure> failure;
  callbacks.on_head = [&](const HttpResponseHead&) { call->PauseReading(); };
  callbacks.on_end = [&] { ended = true; };
  callbacks.on_failure = [&](Failure reason) { failure = std::move(reason); };
  call = client.Send({"POST", "/", {}, std::string(8 * kUploadBytes, 'x')}, {},
                     std::move(callbacks));
  for (int i = 0; i < 20; ++i) {
    this->loop.RunFor(milliseconds(20));
  }
  call->ResumeReading();
  for (int i = 0; i < kMaxIterations && !ended && !failure; ++i) {
    this->loop.RunFor(milliseconds(20));
  }
  CHECK_FALSE(ended);
  CHECK_TRUE(failure.has_value());
  CHECK_TRUE(failure->verdict == Verdict::kMayHaveRun);
}

// Guards against refusing the response of a server that answers early, ends its
// side and reads the upload to its end.
TEST(Http1Test, AcceptsAnEarlyResponseWhoseServerReadsTheUpload) {
  this->method = "POST";
  this->body = std::string(kUploadBytes, 'x');
  const auto check = [&](const std::string& framing, milliseconds pause) {
    std::atomic<size_t> taken = 0;
    RawServer server([&](int descriptor) {
      Send(descriptor, "HTTP/1.1 200 OK\r\n" + framing + "\r\nwhole");
      shutdown(descriptor, SHUT_WR);
      std::this_thread::sleep_for(pause);
      taken = Discard(descriptor, 2 * kUploadBytes);
    });
    Http1Client client(this->loop, server.address(), {});
    const auto result = this->Fetch(client);
    CHECK_TRUE(result.has_value());
    STRCMP_EQUAL("whole", result->body.c_str());
    for (int i = 0; i < kMaxIterations && taken == 0; ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    return taken.load();
  };
  for (const milliseconds pause : {milliseconds(0), milliseconds(300)}) {
    // The server has read up to 4096 bytes before.
    CHECK_COMPARE(check("", pause), >=, kUploadBytes - 4096);
    check("Content-Length: 5\r\n", pause);
  }
}

// Guards against treating a response with a truncated body as complete.
TEST(Http1Test, FailsResponseThatIsCut) {
  RawServer server([](int descriptor) {
    Send(descriptor, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  });
  Http1Client client(this->loop, server.address(), {});
  CHECK_FALSE(this->Fetch(client).has_value());
}

// Guards against a success with an empty or short body from a response that was
// cut anywhere, also after other responses on its connection.
TEST(Http1Test, FailsAResponseThatIsCutAnywhere) {
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 10\r\n\r\n0123456789",
      "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
      "a\r\n0123456789\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n"};
  for (const std::string before :
       {"", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nok"}) {
    for (const std::string& response : responses) {
      const bool framed = response != responses.back();
      const size_t cuts = response.size() + (framed ? 0 : 1);
      const size_t step = before.empty() ? 3 : 11;
      for (size_t cut = 0; cut<cuts; cut += cuts - cut> 6 ? step : 1) {
        RawServer server([&](int descriptor) {
          Send(descriptor, before + response.substr(0, cut));
        });
        Http1Client client(this->loop, server.address(), {});
        Http1SendOptions options;
        options.accepts = [](const HttpResponseHead& head) {
          return FindHeader(head.headers, "x-id") == "mine";
        };
        const auto result = this->Fetch(client, options);
        CHECK_FALSE_TEXT(result.has_value(), response.substr(0, cut).c_str());
        CHECK_TRUE(result.error().verdict == Verdict::kMayHaveRun);
      }
    }
  }
}

// Guards against a response whose framing is broken or contradicts itself.
TEST(Http1Test, FailsAResponseWithBrokenFraming) {
  for (const std::string framing :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nwhole\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
        "5\r\nwhole\r\n0\r\n\r\n",
        "Content-Length: 5\r\nContent-Length: 4\r\n\r\nwhole",
        "Content-Length: -5\r\n\r\nwhole", "Content-Length: 5x\r\n\r\nwhole",
        "Content-Length: 99999999999999999999999\r\n\r\nwhole",
        "Transfer-Encoding: chunked\r\n\r\nz\r\nwhole\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n"
        "5\r\nwholeHTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n"
        "5\r\nwhole\r\nHTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n"
        "fffffffffffffffff\r\nwhole\r\n0\r\n\r\n"}) {
    RawServer server([&](int descriptor) {
      Send(descriptor, "HTTP/1.1 200 OK\r\n" + framing);
    });
    Http1Client client(this->loop, server.address(), {});
    const auto result = this->Fetch(client);
    CHECK_FALSE_TEXT(result.has_value(), framing.c_str());
    CHECK_TRUE(result.error().verdict == Verdict::kMayHaveRun);
  }
}

// Guards against a response without a status of HTTP that is skipped as interim
// or passed on: what follows it on the connection would be taken for the
// response.
TEST(Http1Test, FailsAResponseWhoseStatusIsNotHttp) {
  for (const std::string status :
       {"000", "00", "0", "1", "20", "099", "99", "-1", "-200", "600", "999",
        "1000", "2000", "99999999999", "2x0"}) {
    for (const std::string rest :
         {"Content-Length: 2\r\n\r\nno", "Content-Length: 0\r\n\r\n", "\r\n"}) {
      RawServer server([&](int descriptor) {
        Send(descriptor, "HTTP/1.1 " + status + " No\r\n" + rest +
                             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      });
      Http1Client client(this->loop, server.address(), {});
      Http1SendOptions options;
      bool had_head = false;
      options.accepts = [&had_head](const HttpResponseHead&) {
        had_head = true;
        return true;
      };
      const auto result = this->Fetch(client, options);
      CHECK_FALSE_TEXT(result.has_value(), status.c_str());
      CHECK_FALSE_TEXT(had_head, status.c_str());
      CHECK_TRUE(result.error().verdict == Verdict::kMayHaveRun);
      CHECK_TRUE(result.error().code == ErrorCode::kCorrupt);
    }
  }
}

// Guards against a check of the status that fails the lowest and highest ones.
TEST(Http1Test, AcceptsEveryStatusOfHttp) {
  for (const int status : {200, 299, 404, 599}) {
    RawServer server([&](int descriptor) {
      Send(descriptor,
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Early\r\n\r\n"
           "HTTP/1.1 " +
               std::to_string(status) + " Some\r\nContent-Length: 2\r\n\r\nok");
    });
    Http1Client client(this->loop, server.address(), {});
    const auto result = this->Fetch(client);
    CHECK_TRUE(result.has_value());
    CHECK_EQUAL(status, result->status);
  }
}

// Header lines whose name is not a token (RFC 9110, 5.6.2). A parser that takes
// them reads another framing than the server meant, or none.
std::vector<std::string> LinesWithBrokenNames() {
  using std::string_literals::operator""s;
  return {"Content Length: 900",
          "Content-Length : 5",
          "Content-Length\t: 5",
          " Content-Length: 5",
          "\tContent-Length: 5",
          "Transfer Encoding: chunked",
          "Transfer-Encoding : chunked",
          " Transfer-Encoding: chunked",
          "X A: b",
          "X-A : b",
          " X-A: b",
          " : b",
          "X\0A: b"s,
          "X\001A: b",
          "X\037A: b",
          "X\177A: b",
          "X\tA: b",
          "X\rA: b",
          "X\200A: b",
          "X(A: b",
          "X\"A: b",
          "X/A: b",
          "X@A: b",
          "X{A: b"};
}

// Sends the bytes up to `cut`, and the others when they have been read.
void SendInTwo(int descriptor, const std::string& bytes, size_t cut) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  send(descriptor, bytes.data(), cut, MSG_NOSIGNAL);
  if (cut > 0) {
    std::this_thread::sleep_for(milliseconds(2));
  }
  send(descriptor, bytes.data() + cut, bytes.size() - cut, MSG_NOSIGNAL);
}

// Guards against a response that is passed on although the name of a header
// holds a blank or a control byte: a line that frames the body is then none.
// The line comes first, after one with a value or an empty one, or last, in an
// interim response and in a trailer; whole, and in pieces that are cut
// anywhere.
TEST(Http1Test, FailsAResponseWithABrokenHeaderName) {
  const std::string rest = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string& line : LinesWithBrokenNames()) {
    const std::vector<std::string> responses = {
        "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX-B: c\r\n" + line +
            "\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX-B:\r\n" + line +
            "\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + line + "\r\n\r\nwhole",
        "HTTP/1.1 404 No\r\nContent-Length: 5\r\n" + line + "\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\n" + rest,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nwhole\r\n0\r\n" +
            line + "\r\n\r\n"};
    for (const std::string& response : responses) {
      const size_t at = response.find(line);
      // 0: in one piece.
      for (const size_t cut :
           {size_t{0}, at - 1, at, at + 1, at + 2, at + line.size()}) {
        RawServer server([&](int descriptor) {
          SendInTwo(descriptor, response, cut);
          shutdown(descriptor, SHUT_WR);
          Discard(descriptor, kUploadBytes);
        });
        Http1Client client(this->loop, server.address(), {});
        const auto result = this->Fetch(client);
        const std::string name =
            EscapeBytes(response) + " cut at " + std::to_string(cut);
        CHECK_FALSE_TEXT(result.has_value(), name.c_str());
        CHECK_TRUE_TEXT(result.error().verdict == Verdict::kMayHaveRun,
                        name.c_str());
        CHECK_TRUE_TEXT(result.error().code == ErrorCode::kCorrupt,
                        name.c_str());
      }
    }
  }
}

// Guards against a failure that does not tell where the head is broken, or
// that passes its bytes on to the log.
TEST(Http1Test, TellsWhichHeaderNameIsBroken) {
  RawServer server([](int descriptor) {
    Send(descriptor, "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n");
  });
  Http1Client client(this->loop, server.address(), {});
  const auto result = this->Fetch(client);
  CHECK_FALSE(result.has_value());
  STRCMP_CONTAINS("transfer\\x20encoding", result.error().message.c_str());
}

// Guards against refusing names and values that are odd but allowed, wherever
// the response is cut into two pieces.
TEST(Http1Test, AcceptsEveryTokenAsAHeaderName) {
  const std::string name = "!#$%&'*+.^_`|~09azAZ";
  const std::string response =
      "HTTP/1.1 200 OK\r\n" + name +
      ": \xe9\xff :\t@\r\nX-Empty:\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nwhole\r\n0\r\n" +
      name + ": b\r\n\r\n";
  for (size_t cut = 0; cut < response.size(); ++cut) {
    RawServer server(
        [&](int descriptor) { SendInTwo(descriptor, response, cut); });
    Http1Client client(this->loop, server.address(), {});
    const auto result = this->Fetch(client);
    CHECK_TRUE(result.has_value());
    STRCMP_EQUAL("whole", result->body.c_str());
    CHECK(FindHeader(result->headers, "!#$%&'*+.^_`|~09azaz") ==
          "\xe9\xff :\t@");
  }
}

// Guards against a response to HEAD that is taken for cut: it has the length of
// a body, or none, and no body.
TEST(Http1Test, AResponseToHeadHasNoBody) {
  for (const std::string framing : {"Content-Length: 10\r\n", ""}) {
    RawServer server([&](int descriptor) {
      Send(descriptor, "HTTP/1.1 200 OK\r\n" + framing + "\r\n");
    });
    Http1Client client(this->loop, server.address(), {});
    this->method = "HEAD";
    const auto response = this->Fetch(client);
    CHECK_TRUE(response.has_value());
    CHECK_EQUAL(200, response->status);
  }
}

// Guards against delivering a late response of another request to this one.
TEST(Http1Test, SkipsResponseThatBelongsToAnotherRequest) {
  RawServer server([](int descriptor) {
    Send(descriptor,
         "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
         "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nright");
  });
  Http1Client client(this->loop, server.address(), {});
  Http1SendOptions options;
  options.accepts = [](const HttpResponseHead& head) {
    return FindHeader(head.headers, "x-id") == "mine";
  };
  const auto response = this->Fetch(client, options);
  CHECK_TRUE(response.has_value());
  STRCMP_EQUAL("right", response->body.c_str());
}

// Guards against reading a second response as the answer to the next request.
TEST(Http1Test, ClosesConnectionWithBytesAfterTheResponse) {
  RawServer server([](int descriptor) {
    Send(descriptor,
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
  });
  Http1Client client(this->loop, server.address(), {});
  for (int i = 0; i < 3; ++i) {
    const auto response = this->Fetch(client);
    CHECK_TRUE(response.has_value());
    STRCMP_EQUAL("ok", response->body.c_str());
  }
  CHECK_EQUAL(3u, client.connections_opened());
}

// Sends `head` and then `repeated` until the peer closes the connection. Gives
// up after 64 MB, which no limit of a client allows.
void SendWithoutEnd(int descriptor,
                    const std::string& head,
                    const std::string& repeated) {
  constexpr size_t kMostBytes = 64u << 20;
  std::string block;
  while (block.size() < 16384) {
    block += repeated;
  }
  ssize_t written = send(descriptor, head.data(), head.size(), MSG_NOSIGNAL);
  for (size_t sent = 0; written >= 0 && sent < kMostBytes;
       sent += block.size()) {
    written = send(descriptor, block.data(), block.size(), MSG_NOSIGNAL);
  }
}

// Guards against a server that fills the memory of this process with bytes that
// never end, wherever in a response they come. The connection must be closed.
TEST(Http1Test, FailsResponsesThatNeverEnd) {
  struct Case {
    const char* name;
    std::string head;
    std::string repeated;
  };
  const std::vector<Case> cases = {
      {"status line", "HTTP/1.1 200 O", "K"},
      {"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
      {"header value", "HTTP/1.1 200 OK\r\nX-A: ", "b"},
      {"body with its connection", "HTTP/1.1 200 OK\r\n\r\n", "body"},
      {"body past a length",
       "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "body"},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "4\r\nbody\r\n"},
      {"chunk extension",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
      {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-A: b\r\n"},
      {"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to others", "",
       "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\na"},
  };
  for (const Case& each : cases) {
    std::atomic<bool> closed = false;
    RawServer server([&](int descriptor) {
      SendWithoutEnd(descriptor, each.head, each.repeated);
      closed = true;
    });
    Http1Client client(this->loop, server.address(), {});
    Http1SendOptions options;
    options.max_body_bytes = 100000;
    options.accepts = [](const HttpResponseHead& head) {
      return FindHeader(head.headers, "x-id") != "other";
    };
    const auto response = this->Fetch(client, options);
    CHECK_FALSE_TEXT(response.has_value(), each.name);
    CHECK_TRUE_TEXT(response.error().code == ErrorCode::kCorrupt, each.name);
    CHECK_TRUE_TEXT(response.error().verdict == Verdict::kMayHaveRun,
                    each.name);
    for (int i = 0; i < kMaxIterations && !closed; ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE_TEXT(closed, each.name);
  }
}

// Guards against an answer without an id that is taken for the answer to the
// next request on its connection. Only on a new connection must it be that of
// the request.
TEST(Http1Test, TellsWhetherTheConnectionWasUsedBefore) {
  RawServer server([](int descriptor) {
    char request[4096];
    do {
      Send(descriptor, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    } while (read(descriptor, request, sizeof(request)) > 0);
  });
  Http1Client client(this->loop, server.address(), {});
  std::vector<bool> reused;
  Http1SendOptions options;
  options.accepts = [&reused](const HttpResponseHead& head) {
    reused.push_back(head.reused_connection);
    return true;
  };
  CHECK_TRUE(this->Fetch(client, options).has_value());
  CHECK_TRUE(this->Fetch(client, options).has_value());
  CHECK_EQUAL(2u, reused.size());
  CHECK_FALSE(reused[0]);
  CHECK_TRUE(reused[1]);
}

// Guards against a late copy of the first response that is taken for the second
// one, since both requests have the same ID.
TEST(Http1Test, SendsARepeatedIdOnAnotherConnection) {
  RawServer server([](int descriptor) {
    char request[4096];
    do {
      Send(descriptor, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    } while (read(descriptor, request, sizeof(request)) > 0);
  });
  Http1Client client(this->loop, server.address(), {});
  Http1SendOptions options;
  for (const char* const id : {"a", "b"}) {
    options.id = id;
    CHECK_TRUE(this->Fetch(client, options).has_value());
  }
  CHECK_EQUAL(1u, client.connections_opened());
  options.id = "a";
  const auto call = client.Send({"GET", "/", {}, ""}, options, {});
  CHECK_EQUAL(2u, client.connections_opened());
}

// Guards against an answer without an ID that is taken for a request's own
// after an answer to another request has come on the new connection.
TEST(Http1Test, AConnectionWithAForeignResponseIsNotNew) {
  RawServer server([](int descriptor) {
    Send(descriptor,
         "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"
         "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
  });
  Http1Client client(this->loop, server.address(), {});
  Http1SendOptions options;
  options.accepts = [](const HttpResponseHead& head) {
    return FindHeader(head.headers, "x-id").empty() && !head.reused_connection;
  };
  const auto response = this->Fetch(client, options);
  CHECK_FALSE(response.has_value());
  CHECK_TRUE(response.error().verdict == Verdict::kMayHaveRun);
}

// Guards against a request that reaches its server after its caller has left: a
// cancelled request that still lies in the send buffer must be dropped.
TEST(Http1Test, CancelledRequestIsNotDeliveredLater) {
  std::atomic<bool> cancelled = false;
  std::atomic<int> error = 0;
  RawServer server([&](int descriptor) {
    while (!cancelled) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    std::this_thread::sleep_for(milliseconds(50));
    char bytes[65536];
    ssize_t count = 0;
    do {
      count = read(descriptor, bytes, sizeof(bytes));
    } while (count > 0);
    error = count < 0 ? errno : -1;
  });
  Http1Client client(this->loop, server.address(), {});
  auto call =
      client.Send({"POST", "/", {}, std::string(16u << 20, 'x')}, {}, {});
  for (int i = 0; i < 10; ++i) {
    this->loop.RunFor(milliseconds(20));
  }
  call.reset();
  this->loop.RunFor(milliseconds(20));
  cancelled = true;
  for (int i = 0; i < kMaxIterations && error == 0; ++i) {
    this->loop.RunFor(milliseconds(20));
  }
  CHECK_EQUAL(ECONNRESET, error);
}

// Guards against reporting a request that was never sent as possibly run.
TEST(Http1Test, RefusedConnectionMeansNotRun) {
  SocketAddress address;
  {
    RawServer server([](int) {});
    address = server.address();
  }
  Http1Client client(this->loop, address, {});
  const auto response = this->Fetch(client);
  CHECK_FALSE(response.has_value());
  CHECK_TRUE(response.error().verdict == Verdict::kNotRun);
}

TEST_GROUP(Http1ServerTest) {
  Loop loop;
  MemoryBudget memory{loop, {}, {}};
  std::unique_ptr<Http1Server> server;
  std::shared_ptr<HttpResponder> responder;
  std::vector<HttpRequest> requests;

  void Serve() {
    this->Serve(this->memory);
  }

  void Serve(MemoryBudget & budget) {
    auto made = Http1Server::Make(
        this->loop, "127.0.0.1", 0, budget,
        [this](HttpRequest request, std::shared_ptr<HttpResponder> out) {
          this->requests.push_back(std::move(request));
          this->responder = std::move(out);
        });
    CHECK_TRUE(made.has_value());
    this->server = std::move(*made);
  }

  int Connect() {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(this->server->port());
    CHECK_EQUAL(0, connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)));
    return descriptor;
  }

  void RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < kMaxIterations && !done(); ++i) {
      this->loop.RunFor(milliseconds(20));
    }
    CHECK_TRUE(done());
  }

  std::string Receive(int descriptor, size_t min_bytes) {
    std::string received;
    this->RunUntil([&] {
      char bytes[4096];
      const ssize_t count =
          recv(descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (count > 0) {
        received.append(bytes, static_cast<size_t>(count));
      }
      return received.size() >= min_bytes;
    });
    return received;
  }

  // Receives until the server closes its sending side.
  std::string ReceiveAll(int descriptor) {
    std::string received;
    this->RunUntil([&] {
      std::vector<char> bytes(65536);
      ssize_t count = 0;
      while ((count = recv(descriptor, bytes.data(), bytes.size(),
                           MSG_DONTWAIT)) > 0) {
        received.append(bytes.data(), static_cast<size_t>(count));
      }
      return count == 0 || errno != EAGAIN;
    });
    return received;
  }

  void teardown() override {
    this->server.reset();
  }
};

// Guards against bodies of callers that take all memory of the process: a
// length that is announced counts before its bytes arrive, without room for it
// a long body is refused before it is read, and one that is being read is
// refused when the sum exceeds the limit.
TEST(Http1ServerTest, RefusesLongBodiesWithoutMemoryForThem) {
  size_t evictions = 0;
  MemoryBudget small(this->loop, {.max_bytes = 300u << 10},
                     [&evictions](size_t, size_t) { ++evictions; });
  this->Serve(small);
  const auto post = [this](size_t announced, size_t sent) {
    const int descriptor = this->Connect();
    const std::string bytes =
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(announced) +
        "\r\n\r\n" + std::string(sent, 'x');
    CHECK_EQUAL(static_cast<ssize_t>(bytes.size()),
                write(descriptor, bytes.data(), bytes.size()));
    return descriptor;
  };
  const int first = post(200u << 10, 1u << 10);
  this->RunUntil([&] { return small.used() >= 200u << 10; });
  const int refused = post(70u << 10, 0);
  const std::string answer = this->Receive(refused, 60);
  STRNCMP_EQUAL("HTTP/1.1 503", answer.c_str(), 12);
  STRCMP_CONTAINS("Retry-After: 1\r\n", answer.c_str());
  const int short_one = post(2, 2);
  this->RunUntil([&] { return this->requests.size() == 1; });
  CHECK_EQUAL(0u, evictions);
  {
    MemoryAccount other(small, [] {});
    other.Set(110u << 10);
    STRNCMP_EQUAL("HTTP/1.1 503", this->Receive(first, 12).c_str(), 12);
    CHECK_EQUAL(1u, evictions);
  }
  const int whole = post(120u << 10, 120u << 10);
  this->RunUntil([&] { return this->requests.size() == 2; });
  CHECK_EQUAL(1u, evictions);
  for (const int descriptor : {first, refused, short_one, whole}) {
    close(descriptor);
  }
  this->RunUntil([&] { return small.used() == 0; });
  this->server.reset();
  this->loop.RunFor(milliseconds(20));
}

// Guards against chunked bodies, which announce no length, that take memory
// which other bodies have reserved.
TEST(Http1ServerTest, RefusesAChunkedBodyThatOutgrowsTheMemory) {
  MemoryBudget small(this->loop, {.max_bytes = 300u << 10}, [](size_t, size_t) {
    FAIL("ended a holder instead of refusing the body");
  });
  this->Serve(small);
  Http1Limits limits;
  limits.max_body_bytes = 200u << 10;
  this->server->SetLimits(limits);
  const int chunked = this->Connect();
  Send(chunked, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  this->loop.RunFor(milliseconds(100));
  const int announced = this->Connect();
  Send(announced, "POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n");
  this->RunUntil([&] { return small.used() >= 200000; });
  Send(chunked, "19000\r\n" + std::string(100u << 10, 'x'));
  STRNCMP_EQUAL("HTTP/1.1 503", this->Receive(chunked, 12).c_str(), 12);
  CHECK_EQUAL(0u, this->requests.size());
  close(chunked);
  close(announced);
  this->server.reset();
  this->loop.RunFor(milliseconds(20));
}

// Guards against a caller with a body over the limit that is told to send it,
// or gets no answer until it has.
TEST(Http1ServerTest, RejectsAnAnnouncedLengthOverTheLimitAtOnce) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller,
       "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: "
       "4194305\r\n\r\n");
  STRNCMP_EQUAL("HTTP/1.1 413", this->ReceiveAll(caller).c_str(), 12);
  close(caller);
}

// Guards against short headers that take many times the memory of the bytes
// that the limit on headers counts.
TEST(Http1ServerTest, RejectsTooManyHeaders) {
  this->Serve();
  const size_t most = MaxHeaders(Http1Limits());
  for (const size_t count : {most, most + 1}) {
    std::string head = "GET / HTTP/1.1\r\n";
    for (size_t i = 0; i < count; ++i) {
      head += "a:\r\n";
    }
    const int caller = this->Connect();
    Send(caller, head + "\r\n");
    if (count > most) {
      STRNCMP_EQUAL("HTTP/1.1 431", this->ReceiveAll(caller).c_str(), 12);
    } else {
      this->RunUntil([&] { return this->requests.size() == 1; });
    }
    close(caller);
  }
}

// Guards against callers that hold memory for good with bodies that they do not
// complete; one whose bytes still arrive is not refused.
TEST(Http1ServerTest, RefusesABodyThatHasStalled) {
  this->Serve();
  Http1Limits limits;
  limits.idle_timeout = milliseconds(1200);
  this->server->SetLimits(limits);
  const int stalled = this->Connect();
  const int slow = this->Connect();
  for (const int caller : {stalled, slow}) {
    Send(caller, "POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nx");
  }
  for (int i = 0; i < 7; ++i) {
    this->loop.RunFor(milliseconds(100));
    const auto end = this->loop.Now() + milliseconds(400);
    while (this->loop.Now() < end) {
      this->loop.RunFor(milliseconds(20));
    }
    Send(slow, "x");
  }
  this->RunUntil([&] { return this->requests.size() == 1; });
  STRNCMP_EQUAL("HTTP/1.1 408", this->Receive(stalled, 12).c_str(), 12);
  close(stalled);
  close(slow);
}

// Guards against a target that goes on working after its caller disconnected:
// the server must detect the close while the request is being answered.
TEST(Http1ServerTest, NoticesThatTheCallerLeavesBeforeTheAnswer) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  bool gone = false;
  this->responder->OnClosed([&gone] { gone = true; });
  close(caller);
  this->RunUntil([&gone] { return gone; });
  CHECK_TRUE(this->responder->closed());
  this->responder.reset();
}

// Guards against a pipelined request that is handled before the previous one is
// answered, or is lost.
TEST(Http1ServerTest, AnswersPipelinedRequestsInOrder) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller,
       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "3\r\nabc\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  STRCMP_EQUAL("abc", this->requests[0].body.c_str());
  this->responder->Send(200, {}, "one");
  this->RunUntil([this] { return this->requests.size() == 2; });
  this->responder->Send(200, {}, "two");
  const std::string received = this->Receive(caller, 80);
  CHECK_TRUE(received.find("one") < received.find("two"));
  close(caller);
  this->responder.reset();
}

// Guards against an aborted stream that looks complete to its caller.
TEST(Http1ServerTest, AbortedStreamHasNoEnd) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  this->responder->Start(200, {});
  this->responder->Write("part");
  const std::string received = this->Receive(caller, 40);
  this->responder->Abort();
  this->loop.RunFor(milliseconds(50));
  char rest[64];
  const ssize_t count = recv(caller, rest, sizeof(rest), MSG_DONTWAIT);
  CHECK_TRUE(count <= 0);
  CHECK_TRUE(received.find("0\r\n\r\n") == std::string::npos);
  close(caller);
  this->responder.reset();
}

// Guards against request smuggling by a body with two conflicting lengths.
TEST(Http1ServerTest, RejectsRequestWithTwoFramings) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller,
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
  const std::string received = this->Receive(caller, 12);
  STRNCMP_EQUAL("HTTP/1.1 400", received.c_str(), 12);
  CHECK_EQUAL(0u, this->requests.size());
  close(caller);
}

// Guards against accepting headers or bodies over the configured limits.
TEST(Http1ServerTest, RejectsWhatIsOverTheLimits) {
  this->Serve();
  Http1Limits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 10;
  this->server->SetLimits(limits);
  const int large_head = this->Connect();
  Send(large_head,
       "GET /a HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
  STRNCMP_EQUAL("HTTP/1.1 431", this->Receive(large_head, 12).c_str(), 12);
  const int large_body = this->Connect();
  Send(large_body,
       "POST /a HTTP/1.1\r\nContent-Length: 20\r\n\r\n" + std::string(20, 'x'));
  STRNCMP_EQUAL("HTTP/1.1 413", this->Receive(large_body, 12).c_str(), 12);
  CHECK_EQUAL(0u, this->requests.size());
  close(large_head);
  close(large_body);
}

// Guards against a response without a status of HTTP that reaches a caller.
TEST(Http1ServerTest, SendsNoStatusThatIsNotHttp) {
  this->Serve();
  for (const int status : {-1, 0, 99, 101, 199, 600, 1000}) {
    const int caller = this->Connect();
    Send(caller, "GET /a HTTP/1.1\r\n\r\n");
    this->RunUntil([&] { return this->responder != nullptr; });
    this->responder->Send(status, {}, "no");
    CHECK_TRUE(this->responder->closed());
    this->responder.reset();
    STRCMP_EQUAL("", this->ReceiveAll(caller).c_str());
    close(caller);
  }
}

// Guards against a planned stop that closes a connection before its answer is
// sent, or keeps it open afterwards.
TEST(Http1ServerTest, ClosesAfterTheAnswerWhenItStops) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  this->server->CloseAfterAnswers();
  this->server->CloseIdle();
  this->responder->Send(200, {}, "whole");
  const std::string received = this->Receive(caller, 50);
  CHECK_TRUE(received.find("Connection: close") != std::string::npos);
  CHECK_TRUE(received.find("whole") != std::string::npos);
  close(caller);
  this->responder.reset();
}

// Guards against a planned stop that drops the end of an answer: the answer has
// ended, but its bytes wait for the end of the loop iteration.
TEST(Http1ServerTest, StopDoesNotDropAnAnswerThatIsStillBuffered) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  this->server->CloseAfterAnswers();
  this->responder->Send(200, {}, "whole");
  this->server->CloseIdle();
  STRCMP_CONTAINS("whole", this->ReceiveAll(caller).c_str());
  close(caller);
  this->responder.reset();
}

// Guards against a planned stop that cuts an answer whose caller reads slowly:
// the bytes that the socket does not accept yet are not done.
TEST(Http1ServerTest, StopDoesNotCutAnAnswerThatItsCallerReadsSlowly) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  this->server->CloseAfterAnswers();
  constexpr size_t kBytes = 16u << 20;
  this->responder->Send(200, {}, std::string(kBytes, 'x'));
  this->loop.RunFor(milliseconds(20));
  CHECK_EQUAL(1u, this->server->work().unsent);
  this->server->CloseIdle();
  CHECK_TRUE(this->ReceiveAll(caller).size() > kBytes);
  close(caller);
  this->RunUntil([this] { return this->server->connections() == 0; });
  this->responder.reset();
}

// Guards against a server that takes a connection for done before its caller
// has closed it: an exit could then reset the connection and drop the answer.
TEST(Http1ServerTest, AnsweredConnectionLingersUntilItsCallerCloses) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  CHECK_EQUAL(1u, this->server->work().answering);
  this->server->CloseAfterAnswers();
  this->responder->Send(200, {}, "whole");
  CHECK_EQUAL(1u, this->server->work().unsent);
  STRCMP_CONTAINS("whole", this->ReceiveAll(caller).c_str());
  CHECK_EQUAL(1u, this->server->work().lingering);
  close(caller);
  this->RunUntil([this] { return this->server->connections() == 0; });
  this->responder.reset();
}

// Guards against a planned stop that cuts a request whose body is still on its
// way, without an answer.
TEST(Http1ServerTest, StopAnswersAPartlyReadRequest) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
  this->RunUntil([this] { return this->server->work().receiving == 1; });
  this->server->CloseAfterAnswers();
  this->server->CloseIdle();
  CHECK_EQUAL(1u, this->server->connections());
  this->server->RefusePartialRequests();
  STRNCMP_EQUAL("HTTP/1.1 503", this->ReceiveAll(caller).c_str(), 12);
  CHECK_EQUAL(0u, this->requests.size());
  close(caller);
}

// Guards against a planned stop that drops a request which was read while the
// one before it was being answered.
TEST(Http1ServerTest, StopAnswersARequestThatIsAlreadyBuffered) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller,
       "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  this->server->CloseAfterAnswers();
  this->responder->Send(200, {}, "one");
  this->loop.RunFor(milliseconds(0));
  this->server->CloseIdle();
  this->RunUntil([this] { return this->requests.size() == 2; });
  this->responder->Send(200, {}, "two");
  const std::string received = this->ReceiveAll(caller);
  STRCMP_CONTAINS("one", received.c_str());
  STRCMP_CONTAINS("two", received.c_str());
  close(caller);
  this->responder.reset();
}

// Guards against an idle timeout that runs while the answer is being sent: a
// caller with a slow link got a part of it only.
TEST(Http1ServerTest, SlowlyReadAnswerIsNotCutByTheIdleTimeout) {
  this->Serve();
  Http1Limits limits;
  limits.idle_timeout = milliseconds(700);
  this->server->SetLimits(limits);
  const int caller = this->Connect();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  constexpr size_t kBytes = 24u << 20;
  this->responder->Send(200, {}, std::string(kBytes, 'x'));
  size_t received = 0;
  std::vector<char> bytes(512u << 10);
  // Reads for four idle timeouts.
  for (int i = 0; i < 28; ++i) {
    const ssize_t count =
        recv(caller, bytes.data(), bytes.size(), MSG_DONTWAIT);
    received += count > 0 ? static_cast<size_t>(count) : 0;
    const TimePoint next = this->loop.Now() + milliseconds(100);
    while (this->loop.Now() < next) {
      this->loop.RunFor(milliseconds(20));
    }
  }
  CHECK_TRUE(received < kBytes);
  received += this->ReceiveAll(caller).size();
  CHECK_TRUE(received > kBytes);
  close(caller);
  this->responder.reset();
}

// Guards against a connection that stays open forever since its caller does not
// read the answer.
TEST(Http1ServerTest, ClosesAConnectionWhoseCallerDoesNotReadTheAnswer) {
  this->Serve();
  Http1Limits limits;
  limits.idle_timeout = milliseconds(700);
  this->server->SetLimits(limits);
  const int caller = this->Connect();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  this->responder->Send(200, {}, std::string(24u << 20, 'x'));
  this->RunUntil([this] { return this->server->connections() == 0; });
  close(caller);
  this->responder.reset();
}

// Guards against a request that is closed unread: it arrived while the process
// was paused for longer than the idle timeout.
TEST(Http1ServerTest, AnswersARequestThatArrivedDuringAPause) {
  this->Serve();
  Http1Limits limits;
  limits.idle_timeout = milliseconds(700);
  this->server->SetLimits(limits);
  const int caller = this->Connect();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  this->responder->Send(200, {}, "one");
  this->Receive(caller, 1);
  Send(caller, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(milliseconds(1300));
  this->RunUntil([this] { return this->requests.size() == 2; });
  this->responder->Send(200, {}, "two");
  STRCMP_CONTAINS("two", this->Receive(caller, 1).c_str());
  close(caller);
  this->responder.reset();
}

// Guards against a planned stop that closes a connection whose next request has
// arrived but has not been read.
TEST(Http1ServerTest, StopDoesNotCloseAConnectionWithAnUnreadRequest) {
  this->Serve();
  const int caller = this->Connect();
  this->RunUntil([this] { return this->server->connections() == 1; });
  this->server->CloseAfterAnswers();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK_EQUAL(1u, this->server->work().receiving);
  this->server->CloseIdle();
  this->RunUntil([this] { return this->requests.size() == 1; });
  this->responder->Send(200, {}, "whole");
  STRCMP_CONTAINS("whole", this->ReceiveAll(caller).c_str());
  close(caller);
  this->responder.reset();
}

// Guards against a planned stop that ends without an answer to a request which
// has arrived but has not been read.
TEST(Http1ServerTest, StopAnswersARequestThatHasNotBeenRead) {
  this->Serve();
  const int caller = this->Connect();
  this->RunUntil([this] { return this->server->connections() == 1; });
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->server->RefusePartialRequests();
  STRNCMP_EQUAL("HTTP/1.1 503", this->ReceiveAll(caller).c_str(), 12);
  CHECK_EQUAL(0u, this->requests.size());
  close(caller);
}

// Guards against a new configuration that closes connections which their
// callers may still use.
TEST(Http1ServerTest, AShorterIdleTimeoutHoldsFromTheNextAnswerOn) {
  this->Serve();
  const int caller = this->Connect();
  for (const char* const path : {"/a", "/b"}) {
    Send(caller, std::string("GET ") + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    const size_t before = this->requests.size();
    this->RunUntil([&] { return this->requests.size() > before; });
    this->responder->Send(200, {}, "one");
    this->Receive(caller, 1);
    Http1Limits limits;
    limits.idle_timeout = milliseconds(300);
    this->server->SetLimits(limits);
    if (before == 0) {
      const TimePoint end = this->loop.Now() + milliseconds(1200);
      while (this->loop.Now() < end) {
        this->loop.RunFor(milliseconds(20));
      }
      CHECK_EQUAL(1u, this->server->connections());
    }
  }
  this->RunUntil([this] { return this->server->connections() == 0; });
  close(caller);
  this->responder.reset();
}

// Guards against an answer that is cut since its caller sends a long request
// behind it.
TEST(Http1ServerTest, ALongRequestBehindAnotherDoesNotCutItsAnswer) {
  this->Serve();
  const int caller = this->Connect();
  Send(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunUntil([this] { return this->requests.size() == 1; });
  constexpr size_t kBytes = 3u << 20;
  std::string unsent = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                       std::to_string(kBytes) + "\r\n\r\n" +
                       std::string(kBytes, 'x');
  const auto send_more = [&] {
    const ssize_t count =
        send(caller, unsent.data(), unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    unsent.erase(0, static_cast<size_t>(std::max<ssize_t>(0, count)));
    return unsent.empty();
  };
  for (int i = 0; i < 20; ++i) {
    send_more();
    this->loop.RunFor(milliseconds(20));
  }
  this->responder->Send(200, {}, "one");
  STRCMP_CONTAINS("one", this->Receive(caller, 1).c_str());
  this->RunUntil(send_more);
  this->RunUntil([this] { return this->requests.size() == 2; });
  CHECK_EQUAL(kBytes, this->requests.back().body.size());
  this->responder->Send(200, {}, "two");
  STRCMP_CONTAINS("two", this->Receive(caller, 1).c_str());
  close(caller);
  this->responder.reset();
}

}  // namespace
}  // namespace celerypost
