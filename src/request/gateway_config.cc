#include "src/request/gateway_config.h"

namespace celerypost {

const Route* GatewayConfig::FindRoute(std::string_view host,
                                      std::string_view path) const {
  // A port in the Host header does not select another route.
  host = host.substr(0, host.find(':'));
  path = path.substr(0, path.find('?'));
  const auto found = this->routes.find(std::string(host));
  if (found == this->routes.end()) {
    return nullptr;
  }
  for (const Route& route : found->second) {
    if (path.starts_with(route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const Workspace* GatewayConfig::FindWorkspace(const std::string& key) const {
  const auto found = this->workspace_of_key.find(key);
  return found == this->workspace_of_key.end()
             ? nullptr
             : &this->workspaces[found->second];
}

}  // namespace celerypost
