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

// The network between regions: TCP forwarders in front of processes.
//
// Orders: {"forward": {"port", "to": "ip:port", "region", "from"}} listens on a
// port in front of a process of a region; "from" is the region of those who
// connect, or empty when their first frame is a Hello that names it.
// {"pair": [a, b], "latency_us", "mbit", "cut", "stalled"} sets the link
// between two regions; regions without a setting are joined without limits.
class Link : public StandIn {
 public:
  Link(Loop& loop, Json settings);
  ~Link() override;

 protected:
  void Handle(HttpRequest request,
              std::shared_ptr<HttpResponder> responder) override;
  Json Control(const Json& order) override;
  Json Figures() const override;

 private:
  struct Forward {
    uv_tcp_t listener{};
    Link* owner = nullptr;
    SocketAddress target;
    std::string region;
    std::string from;
  };

  static void OnConnection(uv_stream_t* listener, int status);
  // The link between the region that connects and the region it connects to.
  LinkEnd Find(const std::string& from, const std::string& to);
  void AddForward(const Json& order);
  void SetPair(const Json& order);

  std::map<std::pair<std::string, std::string>, std::unique_ptr<LinkState>>
      links;
  std::vector<Forward*> forwards;
  std::set<LinkConnection*> connections;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_LINK_H_
