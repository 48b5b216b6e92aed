#include "tests/scenarios/caller.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace celerypost::scenarios {

namespace {

constexpr auto kAnswerTimeout = std::chrono::seconds(1);

}  // namespace

HttpClient& ClientPool::At(const std::string& address) {
  auto& client = this->clients[address];
  if (!client) {
    client = std::make_unique<HttpClient>(
        this->loop, *SocketAddress::Parse(address), HttpClientOptions{});
  }
  return *client;
}

Caller::Caller(Loop& loop,
               ClientPool& pool,
               std::string service,
               std::vector<std::string> known,
               size_t first)
    : loop(loop),
      pool(pool),
      service(std::move(service)),
      known(std::move(known)),
      next_known(first) {}

const std::string& Caller::Address() const {
  static const auto* none = new std::string;
  return this->addresses.empty()
             ? *none
             : this->addresses[this->current % this->addresses.size()];
}

void Caller::Refresh() {
  const TimePoint now = this->loop.Now();
  if (now < this->valid_until ||
      (this->call && now < this->asked_at + kAnswerTimeout)) {
    return;
  }
  this->asked_at = now;
  HttpRequest request;
  request.path = "/v1/entries?service=" + this->service;
  const std::string address =
      this->addresses.empty()
          ? this->known[this->next_known++ % this->known.size()]
          : this->Address();
  // Cancels an earlier call that got no response.
  this->call = nullptr;
  this->call = this->pool.At(address).Fetch(
      request, 1 << 20, [this, address](const Result<HttpResponse>& answer) {
        this->OnAnswer(answer);
        if (!answer || answer->status != 200) {
          this->UseNextEntry(address);
        }
      });
}

void Caller::OnAnswer(const Result<HttpResponse>& answer) {
  // Lets the next Refresh retry immediately after a failure.
  this->asked_at -= kAnswerTimeout;
  if (!answer || answer->status != 200) {
    return;
  }
  const auto body = nlohmann::json::parse(answer->body, nullptr, false);
  if (!body.is_object() || !body.contains("addresses")) {
    return;
  }
  this->addresses = body["addresses"].get<std::vector<std::string>>();
  this->current = 0;
  this->prefix = body.value("request_id_prefix", "");
  this->valid_until = this->loop.Now() + std::chrono::milliseconds(body.value(
                                             "max_age_ms", int64_t{1000}));
}

void Caller::UseNextEntry(const std::string& address) {
  if (this->Address() != address) {
    return;
  }
  if (++this->current >= this->addresses.size()) {
    // All listed entries failed: fall back to the configured addresses.
    this->addresses.clear();
    this->current = 0;
    this->valid_until = TimePoint();
  }
}

}  // namespace celerypost::scenarios
