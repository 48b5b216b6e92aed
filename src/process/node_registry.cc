#include "src/process/node_registry.h"

#include <utility>

namespace celerypost {

namespace {

constexpr std::string_view kNodePrefix = "celerypost/nodes/";

}  // namespace

NodeRegistry::NodeRegistry(Loop& loop,
                           KeyValueClient& store,
                           LeaseClient& leases,
                           Log& log,
                           NodeRegistryOptions options)
    : store(store),
      leases(leases),
      log(log),
      options(std::move(options)),
      timer(loop, [this] {
        if (this->lease == 0) {
          this->Register();
        } else {
          this->Renew();
        }
      }) {}

std::string_view NodeRegistry::Prefix() {
  return kNodePrefix;
}

std::optional<std::string> NodeRegistry::AddressOf(std::string_view key) {
  if (!key.starts_with(kNodePrefix)) {
    return std::nullopt;
  }
  return std::string(key.substr(kNodePrefix.size()));
}

void NodeRegistry::Register() {
  if (this->leaving) {
    return;
  }
  this->leases.Grant(this->options.lease, [this](const Result<int64_t>& lease) {
    if (!lease) {
      this->log.Debug("registration_failed", lease.error().message);
      this->timer.StartOnce(this->options.retry_period);
      return;
    }
    KeyValueTransaction transaction;
    transaction.key = std::string(kNodePrefix) + this->options.ip;
    transaction.value = "{}";
    transaction.unconditional = true;
    transaction.lease = *lease;
    this->store.Transact(
        std::move(transaction),
        [this, id = *lease](const Result<KeyValueTransactionResult>& result) {
          if (!result) {
            this->log.Debug("registration_failed", result.error().message);
            this->timer.StartOnce(this->options.retry_period);
            return;
          }
          this->lease = id;
          this->log.Info("registered", "this process is registered",
                         {{"lease", id}, {"revision", result->revision}});
          this->timer.StartOnce(this->options.renew_period);
        });
  });
}

void NodeRegistry::Renew() {
  if (this->leaving) {
    return;
  }
  this->leases.Renew(this->lease, [this](const Result<void>& renewed) {
    if (!renewed && renewed.error().code == ErrorCode::kNotFound) {
      this->log.Info("registration_lapsed",
                     "the lease has ended; registering again",
                     {{"lease", this->lease}});
      this->lease = 0;
      this->Register();
      return;
    }
    this->timer.StartOnce(renewed ? this->options.renew_period
                                  : this->options.retry_period);
  });
}

void NodeRegistry::Leave() {
  this->leaving = true;
  this->timer.Stop();
  if (this->lease != 0) {
    this->leases.Revoke(this->lease, [](const Result<void>&) {
      // The lease ends by itself if the service cannot be told.
    });
  }
}

}  // namespace celerypost
