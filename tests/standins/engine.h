#ifndef TESTS_STANDINS_ENGINE_H_
#define TESTS_STANDINS_ENGINE_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "tests/standins/cold_start_model.h"
#include "tests/standins/stand_in.h"
#include "tests/standins/weight_memory.h"

namespace celerypost::standins {

// A fake model engine with continuous batching: every `token_ms` each running
// request gets one token. A token is
// "<16 digits of the held set's digest>-<8 digits of the prompt's digest>-<i>
// ", so the text shows which weight bytes and which prompt produced it.
//
// Settings: "cold", "full", "warm_up_ms" (ColdStartModel), "token_ms",
// "prefill_ms", "cold_factor" (multiplies the prefill time of a cold engine),
// "fencing" (orders with an old fencing number are refused), "verify" (the
// engine checks the digests of its weights too).
// Commands: "restart": true closes all connections, drops all weights and
// generates a new start id; "turn_cold": true.
class Engine : public StandIn {
 public:
  Engine(Loop& loop, Json settings);

 protected:
  void Handle(HttpRequest request,
              std::shared_ptr<HttpResponder> responder) override;
  Json Control(const Json& command) override;
  Json Figures() const override;
  void OnDown() override;

 private:
  struct RunningRequest {
    std::shared_ptr<HttpResponder> responder;
    bool stream = true;
    std::string token_prefix;
    std::string version;
    int64_t tokens_left = 0;
    int64_t index = 0;
    int64_t ready_ms = 0;
    bool cold = false;
    std::string text;
  };
  using Handler = void (Engine::*)(const HttpRequest&,
                                   const std::shared_ptr<HttpResponder>&);

  void Health(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void Complete(const HttpRequest& request,
                const std::shared_ptr<HttpResponder>& responder);
  void Objects(const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder);
  void Order(const HttpRequest& request,
             const std::shared_ptr<HttpResponder>& responder);
  std::string RunOrder(const std::string& kind, const Json& order);
  void Tick();
  // Generates one token; returns whether the request is finished.
  bool Advance(RunningRequest& running);
  void Restart();

  WeightMemory memory;
  ColdStartModel cold_start;
  std::string start_id;
  // Digest of the set that new requests use; empty: none.
  std::string serving;
  int64_t highest_fencing = 0;
  bool check_fencing = true;
  int64_t token_ms = 5;
  int64_t prefill_ms = 30;
  int64_t cold_factor = 6;
  std::list<RunningRequest> running;
  Timer tick;
  bool ticking = false;
  int64_t requests = 0;
  int64_t requests_without_weights = 0;
  int64_t completed = 0;
  int64_t cancelled = 0;
  int64_t refused_orders = 0;
  int64_t refused_chunks = 0;
  int64_t starts = 1;
  // Each switch to a set, in order: its version, digests and time.
  Json switches = Json::array();
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_ENGINE_H_
