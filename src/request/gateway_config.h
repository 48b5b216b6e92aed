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

// What a request may repeat, as its route declares it.
enum class RouteKind : uint8_t { kIdempotent, kNonIdempotent, kStream };

// A service of a route and its share of the route's requests.
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
  // Longest time that a caller is kept waiting.
  std::chrono::milliseconds timeout{0};
  // Time to the complete answer, or to the first event of a stream, that counts
  // as on time.
  std::chrono::milliseconds latency_goal{0};
  // Longest pause between two events that counts as on time.
  std::chrono::milliseconds pause_goal{0};
  // 0 is served first.
  int priority = 0;
  // Targets that one request may be sent to.
  uint32_t max_attempts = 1;
  // Needs no key.
  bool open = false;
  // A broken stream may go on at another target.
  bool resumable = false;
  std::vector<RegionName> allowed_regions;

  // Whether a request that may have run may be sent again.
  bool repeatable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }
};

// How fast the engine of a model target works, as the operators publish it.
struct EngineRates {
  uint32_t slots = 1;
  // Time of one token step, its growth with each running request, and its
  // growth with each thousand tokens of context of a running request.
  std::chrono::duration<double, std::milli> step{10};
  std::chrono::duration<double, std::milli> step_per_request{0};
  std::chrono::duration<double, std::milli> step_per_thousand_tokens{0};
  // Prompt tokens read in a millisecond.
  double prompt_tokens_per_ms = 10;
  // Token steps between two looks at waiting prompts.
  uint32_t steps_per_pass = 1;
  // Mean sizes of a request.
  double usual_prompt = 1000;
  double usual_answer = 100;
  uint32_t layers = 1;
  uint32_t chunks = 0;
  std::string model;
};

struct ServiceConfig {
  ServiceName name;
  std::string health_path;
  // Connections that one target accepts from all callers.
  uint32_t max_connections = 100;
  // Requests per second that a cold target bears; 0 where targets are never
  // cold.
  double cold_rate = 0;
  std::optional<EngineRates> engine;
  // Services that hand out weights only.
  std::optional<std::string> weight_origin;
};

struct Workspace {
  WorkspaceName name;
  int priority = 0;
  std::vector<RegionName> allowed_regions;
};

// One version of the operators' configuration.
struct GatewayConfig {
  int64_t version = 0;
  // By host; the longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> routes;
  std::map<ServiceName, ServiceConfig> services;
  std::vector<Workspace> workspaces;
  // Index into `workspaces`.
  std::unordered_map<std::string, size_t> workspace_of_key;
  Http1Limits limits;

  // The route of `host` with the longest prefix that begins `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // The workspace that holds `key`, or null.
  const Workspace* FindWorkspace(const std::string& key) const;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_GATEWAY_CONFIG_H_
