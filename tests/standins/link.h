#ifndef TESTS_STANDINS_LINK_H_
#define TESTS_STANDINS_LINK_H_

#include <uv.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/connection/http_client.h"
#include "tests/standins/link_connection.h"
#include "tests/standins/stand_in.h"

namespace celerypost::standins {

// Emulates the network between regions with TCP forwarders in front of
// processes.
//
// Commands: {"forward": {"port", "to": "ip:port", "region", "from"}} listens on
// "port" and forwards to a process in "region"; "from" is the region of the
// clients, or empty if their first frame is a Hello that names it.
// {"pair": [a, b], "latency_us", "mbit", "cut", "stalled"} configures the link
// between two regions; other pairs have no latency and no rate limit.
class Link : public StandIn {
 public:
  Link(Loop& loop, Json settings);
  ~Link() override;

 protected:
  void Handle(HttpRequest request,
              std::shared_ptr<HttpResponder> responder) override;
  Json Control(const Json& command) override;
  Json Figures() const override;

 private:
  struct Forward {
    uv_tcp_t listener{};
    Link* owner = nullptr;
    SocketAddress target;
    std::string target_region;
    std::string client_region;
  };

  static void OnConnection(uv_stream_t* listener, int status);
  // The link between the region that connects and the region it connects to.
  LinkEnd Find(const std::string& from, const std::string& to);
  void AddForward(const Json& command);
  void SetPair(const Json& command);

  std::map<std::pair<std::string, std::string>, std::unique_ptr<LinkState>>
      links;
  std::vector<Forward*> forwards;
  std::set<LinkConnection*> connections;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_LINK_H_
