#include "tests/scenarios/load_generator.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "tests/standins/encoding.h"

namespace celerypost::scenarios {

namespace {

using Json = nlohmann::json;
using standins::Sha256Hex;

constexpr auto kTickInterval = std::chrono::milliseconds(2);
constexpr size_t kMaxProblems = 40;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Appends the text of a stream of server-sent events to `text`. Returns false
// if the final "[DONE]" event is missing.
bool ReadStream(const std::string& stream, std::string* text) {
  bool done = false;
  std::istringstream lines(stream);
  for (std::string line; std::getline(lines, line);) {
    if (line == "data: [DONE]") {
      done = true;
    } else if (line.starts_with("data: ")) {
      const Json event = Json::parse(line.substr(6), nullptr, false);
      if (event.is_object() && event.contains("choices")) {
        *text += event["choices"][0].value("text", "");
      }
    }
  }
  return done;
}

}  // namespace

double LoadResult::Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[std::min(
      values.size() - 1,
      static_cast<size_t>(share * static_cast<double>(values.size())))];
}

bool LoadResult::Find(const std::string& name, double* value) const {
  const std::map<std::string, int64_t> counts = {
      {"sent", this->sent},
      {"ok", this->ok},
      {"failed", this->failed},
      {"refused", this->refused},
      {"interrupted", this->interrupted},
      {"unreached", this->unreached},
      {"may_have_run", this->may_have_run},
      {"wrong", this->wrong},
      {"mixed", this->mixed},
      {"versions", static_cast<int64_t>(this->by_version.size())}};
  if (const auto it = counts.find(name); it != counts.end()) {
    *value = static_cast<double>(it->second);
    return true;
  }
  const std::map<std::string, double> shares = {
      {"p50_ms", 0.5}, {"p95_ms", 0.95}, {"p99_ms", 0.99}};
  const bool first = name.starts_with("first_token_");
  const auto it = shares.find(first ? name.substr(12) : name);
  if (it != shares.end()) {
    *value = Percentile(first ? this->first_token_ms : this->latencies_ms,
                        it->second);
    return true;
  }
  return false;
}

LoadGenerator::LoadGenerator(Loop& loop,
                             ClientPool& pool,
                             LoadOptions options,
                             const std::vector<std::string>& entries,
                             FindSet find_set)
    : loop(loop),
      pool(pool),
      options(std::move(options)),
      find_set(std::move(find_set)),
      started(loop.Now()),
      tick(loop, [this] { this->OnTick(); }) {
  for (size_t i = 0; i < entries.size(); ++i) {
    this->callers.push_back(std::make_unique<Caller>(
        loop, pool, this->options.service, entries, i));
  }
  this->tick.StartRepeating(kTickInterval);
}

bool LoadGenerator::finished() const {
  return this->loop.Now() >= this->started + this->options.duration &&
         this->running.empty();
}

void LoadGenerator::OnTick() {
  for (const auto& caller : this->callers) {
    caller->Refresh();
  }
  const Duration elapsed = std::min<Duration>(this->loop.Now() - this->started,
                                              this->options.duration);
  const auto due =
      static_cast<int64_t>(std::chrono::duration<double>(elapsed).count() *
                           this->options.requests_per_second);
  while (this->begun < due) {
    this->Begin();
  }
}

void LoadGenerator::Begin() {
  Exchange& exchange = this->running.emplace_back();
  exchange.caller = this->callers[this->begun % this->callers.size()].get();
  exchange.payload = "request " + std::to_string(this->begun) + " of " +
                     std::to_string(reinterpret_cast<uintptr_t>(this)) + "," +
                     std::to_string(this->started.time_since_epoch().count());
  exchange.started = this->loop.Now();
  exchange.timer = std::make_unique<Timer>(this->loop, [] {});
  ++this->begun;
  ++this->results.sent;
  this->Attempt(exchange);
}

HttpRequest LoadGenerator::MakeRequest(const Exchange& exchange) const {
  HttpRequest request;
  request.method = "POST";
  request.path = "/s/" + this->options.service +
                 (this->options.engine ? "/v1/completions" : "/orders");
  request.headers = {{"content-type", "application/json"},
                     {"celerypost-workspace", this->options.workspace},
                     {"celerypost-priority", this->options.priority},
                     {"celerypost-deadline-ms", "10000"},
                     {"celerypost-attempt", std::to_string(exchange.attempt)}};
  if (!this->options.engine) {
    request.headers.emplace_back("celerypost-request-id", exchange.id);
  }
  request.body = this->options.engine
                     ? Json{{"prompt", exchange.payload},
                            {"max_tokens", this->options.max_tokens},
                            {"stream", true}}
                           .dump()
                     : exchange.payload;
  return request;
}

void LoadGenerator::Attempt(Exchange& exchange) {
  exchange.address = exchange.caller->Address();
  if (exchange.address.empty() ||
      (!this->options.engine && exchange.caller->Prefix().empty())) {
    // Wait for a response of /v1/entries, at most as long as all attempts of a
    // request may take together.
    if (this->loop.Now() - exchange.started >
        this->options.attempt_timeout * this->options.attempts) {
      this->results.problems.push_back("no entry answered /v1/entries");
      this->Finish(exchange);
      return;
    }
    exchange.caller->Refresh();
    exchange.timer = std::make_unique<Timer>(
        this->loop, [this, &exchange] { this->Attempt(exchange); });
    exchange.timer->StartOnce(std::chrono::milliseconds(10));
    return;
  }
  if (exchange.id.empty()) {
    // Entries give no prefix for services whose requests may be repeated; the
    // id then appears in messages only.
    exchange.id = exchange.caller->Prefix() + "-" +
                  Sha256Hex(exchange.payload).substr(0, 16);
  }
  ++exchange.attempt;
  exchange.head = {};
  exchange.body.clear();
  exchange.timer = std::make_unique<Timer>(this->loop, [this, &exchange] {
    exchange.call = nullptr;
    this->OnAttemptFailed(exchange, false, "attempt timed out");
  });
  exchange.timer->StartOnce(this->options.attempt_timeout);
  HttpResponseCallbacks callbacks;
  callbacks.on_head = [&exchange](const HttpResponseHead& head) {
    exchange.head = head;
  };
  callbacks.on_body = [this, &exchange](std::string_view bytes) {
    if (exchange.body.empty()) {
      exchange.first_token = this->loop.Now();
    }
    exchange.body += bytes;
  };
  callbacks.on_end = [this, &exchange] { this->OnEnd(exchange); };
  callbacks.on_failure = [this, &exchange](const Failure& failure) {
    const bool not_run = failure.verdict == Verdict::kNotRun;
    this->results.unreached += not_run ? 1 : 0;
    this->OnAttemptFailed(exchange, not_run, failure.message);
  };
  exchange.call = this->pool.At(exchange.address)
                      .Send(this->MakeRequest(exchange), std::move(callbacks));
}

void LoadGenerator::OnEnd(Exchange& exchange) {
  if (!FindHeader(exchange.head.headers, "celerypost-refresh").empty()) {
    exchange.caller->Expire();
  }
  if (exchange.head.status != 200) {
    const bool not_run =
        FindHeader(exchange.head.headers, "celerypost-verdict") == "not-run";
    this->results.refused += not_run ? 1 : 0;
    exchange.head.status = 0;
    this->OnAttemptFailed(exchange, not_run, exchange.body);
    return;
  }
  if (this->options.engine) {
    this->CheckEngineAnswer(exchange);
  } else {
    this->CheckPlainAnswer(exchange);
  }
  ++this->results.ok;
  this->results.latencies_ms.push_back(
      Milliseconds(this->loop.Now() - exchange.started));
  this->results.first_token_ms.push_back(
      Milliseconds(exchange.first_token - exchange.started));
  exchange.attempt = 0;
  this->Finish(exchange);
}

void LoadGenerator::CheckEngineAnswer(const Exchange& exchange) {
  std::string text;
  bool whole = ReadStream(exchange.body, &text);
  const std::string version(
      FindHeader(exchange.head.headers, "celerypost-version"));
  const std::string set = this->find_set(version).substr(0, 16);
  const std::string prompt = Sha256Hex(exchange.payload).substr(0, 8);
  bool mixed = set.empty();
  int64_t index = 0;
  std::istringstream tokens(text);
  for (std::string token; tokens >> token; ++index) {
    mixed = mixed || token.substr(0, 16) != set;
    whole = whole && token.substr(std::min<size_t>(16, token.size())) ==
                         "-" + prompt + "-" + std::to_string(index);
  }
  whole = whole && index == this->options.max_tokens;
  this->results.mixed += mixed ? 1 : 0;
  this->results.wrong += whole ? 0 : 1;
  ++this->results.by_version[version];
  if (mixed || !whole) {
    this->results.problems.push_back("version '" + version +
                                     "', expected set " + set + ", text " +
                                     text.substr(0, 120));
  }
}

void LoadGenerator::CheckPlainAnswer(const Exchange& exchange) {
  const Json answer = Json::parse(exchange.body, nullptr, false);
  const bool own = answer.is_object() &&
                   answer.value("request_id", "") == exchange.id &&
                   answer.value("body", "") == exchange.payload;
  this->results.wrong += own ? 0 : 1;
  if (!own) {
    this->results.problems.push_back("wrong answer to " + exchange.id + ": " +
                                     exchange.body.substr(0, 120));
  }
}

void LoadGenerator::OnAttemptFailed(Exchange& exchange,
                                    bool not_run,
                                    const std::string& problem) {
  this->results.interrupted += exchange.head.status != 0 ? 1 : 0;
  this->results.may_have_run += not_run ? 0 : 1;
  exchange.only_not_run = exchange.only_not_run && not_run;
  if (this->results.problems.size() < kMaxProblems) {
    this->results.problems.push_back(
        exchange.id + " attempt " + std::to_string(exchange.attempt) + " at " +
        exchange.address + " after " +
        std::to_string(static_cast<int64_t>(
            Milliseconds(this->loop.Now() - exchange.started))) +
        " ms: " + problem.substr(0, 200));
  }
  exchange.caller->UseNextEntry(exchange.address);
  if (exchange.attempt >= this->options.attempts) {
    this->Finish(exchange);
    return;
  }
  exchange.timer = std::make_unique<Timer>(
      this->loop, [this, &exchange] { this->Attempt(exchange); });
  exchange.timer->StartOnce(std::chrono::milliseconds(20 * exchange.attempt));
}

void LoadGenerator::Finish(Exchange& exchange) {
  // OnEnd resets `attempt` to 0 after a complete response.
  if (exchange.attempt != 0 || exchange.id.empty()) {
    ++this->results.failed;
    if (exchange.only_not_run && !exchange.id.empty()) {
      this->results.not_run_ids.insert(exchange.id);
    }
  }
  // Deferred, as a callback or timer of the exchange may be running.
  this->loop.Post([this, &exchange] {
    this->running.remove_if(
        [&exchange](const Exchange& other) { return &other == &exchange; });
  });
}

}  // namespace celerypost::scenarios
