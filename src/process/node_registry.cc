#include "src/process/node_registry.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/version/json_fields.h"

namespace celerypost {

namespace {

constexpr std::string_view kNodePrefix = "celerypost/nodes/";

}  // namespace

NodeRegistry::NodeRegistry(Loop& loop,
                           KeyValueClient& store,
                           LeaseClient& leases,
                           Log& log,
                           Random& random,
                           NodeRegistryOptions options)
    : loop(loop),
      store(store),
      leases(leases),
      log(log),
      random(random),
      options(std::move(options)),
      timer(loop, [this] {
        if (this->lease_id == 0) {
          this->Register();
        } else {
          this->Renew();
        }
      }) {}

std::string_view NodeRegistry::Prefix() {
  return kNodePrefix;
}

std::string NodeRegistry::GroupPrefix(const RegionName& region, NodeRole role) {
  return std::string(kNodePrefix) + region.value() +
         (role == NodeRole::kGateway ? "/gateway/" : "/stager/");
}

std::optional<std::string> NodeRegistry::AddressOf(std::string_view key) {
  const size_t last_slash = key.rfind('/');
  if (!key.starts_with(kNodePrefix) || last_slash < kNodePrefix.size()) {
    return std::nullopt;
  }
  return std::string(key.substr(last_slash + 1));
}

std::optional<RegisteredNode> NodeRegistry::Parse(const KeyValue& item) {
  const auto address = AddressOf(item.key);
  const auto json = ParseJson(item.value, item.key);
  if (!address || !json || !json->is_object()) {
    return std::nullopt;
  }
  const auto region = json->find("region");
  const auto role = json->find("role");
  if (region == json->end() || !region->is_string() || role == json->end() ||
      !role->is_number_integer()) {
    return std::nullopt;
  }
  RegisteredNode node;
  node.ip = *address;
  node.region = RegionName(region->get<std::string>());
  node.role = static_cast<NodeRole>(role->get<int>());
  const auto zone = json->find("zone");
  if (zone != json->end() && zone->is_string()) {
    node.zone = ZoneName(zone->get<std::string>());
  }
  const auto instance = json->find("instance");
  if (instance != json->end() && instance->is_number_unsigned()) {
    node.instance = InstanceId{instance->get<uint64_t>()};
  }
  return node;
}

void NodeRegistry::SetReader(bool is_reader) {
  if (this->reader == is_reader) {
    return;
  }
  this->reader = is_reader;
  // Brings the pending renewal forward to the shorter period.
  if (is_reader && this->lease_id != 0 && !this->renewing) {
    this->timer.StartOnce(this->RenewPeriod());
  }
}

std::chrono::milliseconds NodeRegistry::RenewPeriod() const {
  return this->reader ? this->options.reader_renew_period
                      : this->options.renew_period;
}

void NodeRegistry::RecordAnswer(bool answered, TimePoint sent_at) {
  if (this->on_call) {
    this->on_call(answered, sent_at);
  }
  if (!answered && this->last_call_answered) {
    this->lost_at = sent_at;
    this->log.Warn("lease_unanswered",
                   "the key-value service does not answer a lease call",
                   {{"lease", this->lease_id}});
  }
  const bool regained =
      answered && !this->last_call_answered && this->ever_answered;
  this->last_call_answered = answered;
  this->ever_answered = this->ever_answered || answered;
  if (regained) {
    this->log.Info(
        "lease_answered", "the key-value service answers lease calls again",
        {{"lease", this->lease_id},
         {"away_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         this->loop.Now() - this->lost_at)
                         .count()}});
  }
  if (regained && this->on_regained) {
    this->on_regained(this->lost_at);
  }
}

void NodeRegistry::OnEra(int64_t era, std::chrono::milliseconds max_delay) {
  if (this->leaving || this->lease_id == 0 || era <= this->lease_era) {
    return;
  }
  this->log.Info("registration_lapsed",
                 "the key-value service has begun a new era; registering again",
                 {{"lease", this->lease_id}, {"era", era}});
  this->lease_id = 0;
  this->timer.StartOnce(std::chrono::milliseconds(this->random.Below(
      static_cast<uint64_t>(std::max<int64_t>(1, max_delay.count())))));
}

void NodeRegistry::Register() {
  if (this->leaving) {
    return;
  }
  this->registering = true;
  this->leases.Grant(
      this->options.lease_duration,
      [this, sent_at = this->loop.Now()](const Result<int64_t>& lease) {
        this->RecordAnswer(lease.has_value(), sent_at);
        if (lease && !this->leaving) {
          this->Put(*lease);
          return;
        }
        this->registering = false;
        if (this->leaving) {
          this->EndLease(lease.value_or(0));
          return;
        }
        this->log.Debug("registration_failed", lease.error().message);
        this->timer.StartOnce(this->options.retry_period);
      });
}

void NodeRegistry::Put(int64_t lease) {
  KeyValueTransaction transaction;
  transaction.key =
      GroupPrefix(this->options.region, this->options.role) + this->options.ip;
  transaction.value =
      nlohmann::json{{"region", this->options.region.value()},
                     {"zone", this->options.zone.value()},
                     {"instance", this->options.instance.value},
                     {"role", static_cast<int>(this->options.role)}}
          .dump();
  transaction.unconditional = true;
  transaction.lease = lease;
  this->store.Transact(
      std::move(transaction),
      [this, lease, granted_in = this->store.Era()](
          const Result<KeyValueTransactionResult>& result) {
        this->registering = false;
        if (this->leaving) {
          this->EndLease(lease);
          return;
        }
        if (!result || this->store.Era() != granted_in) {
          this->log.Debug("registration_failed",
                          result ? "the key-value service has begun a new era"
                                 : result.error().message);
          this->timer.StartOnce(this->options.retry_period);
          return;
        }
        this->lease_id = lease;
        this->lease_era = granted_in;
        this->log.Info("registered",
                       "registered this process in the key-value service",
                       {{"lease", lease},
                        {"revision", result->revision},
                        {"era", granted_in}});
        this->timer.StartOnce(this->RenewPeriod());
      });
}

void NodeRegistry::EndLease(int64_t lease) {
  const auto done = std::exchange(this->on_left, nullptr);
  if (lease == 0) {
    if (done) {
      done();
    }
    return;
  }
  // If this call fails, the lease ends when it is not renewed.
  this->leases.Revoke(lease, [done](const Result<void>&) {
    if (done) {
      done();
    }
  });
}

void NodeRegistry::Renew() {
  if (this->leaving) {
    return;
  }
  this->renewing = true;
  this->leases.Renew(
      this->lease_id, [this, id = this->lease_id, sent_at = this->loop.Now()](
                          const Result<void>& renewed) {
        this->renewing = false;
        this->RecordAnswer(renewed.has_value() ||
                               renewed.error().code == ErrorCode::kNotFound ||
                               renewed.error().code == ErrorCode::kConflict,
                           sent_at);
        if (id != this->lease_id) {
          return;
        }
        if (!renewed && renewed.error().code == ErrorCode::kNotFound) {
          this->log.Info(
              "registration_lapsed",
              "the lease of the registration has ended; registering again",
              {{"lease", this->lease_id}});
          this->lease_id = 0;
          this->Register();
          return;
        }
        this->timer.StartOnce(renewed ? this->RenewPeriod()
                                      : this->options.retry_period);
      });
}

void NodeRegistry::Leave(std::function<void()> done) {
  this->leaving = true;
  this->timer.Stop();
  this->on_left = std::move(done);
  if (!this->registering) {
    this->EndLease(this->lease_id);
  }
}

}  // namespace celerypost
