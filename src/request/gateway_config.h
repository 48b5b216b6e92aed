#ifndef SRC_REQUEST_GATEWAY_CONFIG_H_
#define SRC_REQUEST_GATEWAY_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "celerypost/types.h"
#include "src/connection/http1_limits.h"

namespace celerypost {

// Whether requests of a route may be repeated, as the route declares.
enum class RouteKind : uint8_t { kIdempotent, kNonIdempotent, kStream };

// A service of a route and its share of the route's requests, relative to the
// other backends.
struct RouteBackend {
  ServiceName service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<RouteBackend> backends;
  // Longest time that a caller waits for the answer.
  std::chrono::milliseconds timeout{0};
  // Longest time to the complete answer, or to the first event of a stream,
  // that counts as on time.
  std::chrono::milliseconds latency_goal{0};
  // Longest pause between two events that counts as on time.
  std::chrono::milliseconds pause_goal{0};
  // 0 is served first.
  int priority = 0;
  // Most targets that one request may be sent to.
  uint32_t max_attempts = 1;
  // Callers need no API key.
  bool open = false;
  // A broken stream may be resumed at another target.
  bool resumable = false;
  std::vector<RegionName> allowed_regions;

  // Whether a request that may have run may be sent again.
  bool repeatable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }
};

// Processing rates of a model target's engine, as published by the operators.
struct EngineRates {
  uint32_t slots = 1;
  // Duration of one token step, in which each running request produces a token;
  // its increase per running request; and its increase per thousand tokens of
  // context of a running request.
  std::chrono::duration<double, std::milli> step{10};
  std::chrono::duration<double, std::milli> step_per_request{0};
  std::chrono::duration<double, std::milli> step_per_thousand_tokens{0};
  // Prompt tokens read per millisecond.
  double prompt_tokens_per_ms = 10;
  // Token steps in a pass; the engine reads waiting prompts between passes.
  uint32_t steps_per_pass = 1;
  // Mean prompt and mean answer of a request, in tokens.
  double mean_prompt_tokens = 1000;
  double mean_answer_tokens = 100;
  uint32_t layers = 1;
  uint32_t chunks = 0;
  std::string model;
};

struct ServiceConfig {
  ServiceName name;
  std::string health_path;
  // Connections that one target accepts in total.
  uint32_t max_connections = 100;
  // Requests per second that a cold target can handle; 0 if targets of the
  // service are never cold.
  double cold_rate = 0;
  std::optional<EngineRates> engine;
  // Whether every route to the service is repeatable, so that its targets may
  // break off running requests, which gateways send to another target.
  bool interruptible = true;
  // Address of the weight origin; set only for services that distribute
  // weights.
  std::optional<std::string> weight_origin;
  // Rate of the origin's link in bytes per second; 0 if it is not known.
  double origin_link_rate = 0;
};

struct Workspace {
  WorkspaceName name;
  int priority = 0;
  std::vector<RegionName> allowed_regions;
};

// One version of the configuration that the operators publish.
struct GatewayConfig {
  int64_t version = 0;
  // Keyed by host; the route with the longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> routes;
  std::map<ServiceName, ServiceConfig> services;
  std::vector<Workspace> workspaces;
  // Index into `workspaces`, keyed by API key.
  std::unordered_map<std::string, size_t> workspace_of_key;
  Http1Limits limits;

  // Returns the route of `host` with the longest prefix of `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the workspace that the API key `key` belongs to, or null.
  const Workspace* FindWorkspace(const std::string& key) const;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_GATEWAY_CONFIG_H_
