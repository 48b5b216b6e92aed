#ifndef TESTS_STANDINS_ORIGIN_H_
#define TESTS_STANDINS_ORIGIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "tests/standins/artefact.h"
#include "tests/standins/stand_in.h"

namespace celerypost::standins {

// A fake of the rate-limited origin of weights.
//
// Settings: "mbit" (rate of the link; 0: no limit), "max_wait_ms" (a request
// that would wait longer for the link is answered with 429), "corrupt_percent"
// and "truncate_percent" (share of range answers), "refuse" (N: the next N
// requests get 429). Fault "hang" stalls all answers.
// Command: {"add": {"size", "chunk_size", "seed", "shared_seed",
// "shared_percent"}} generates an artefact and returns {"digest", "index",
// "size"}.
//
// Bytes are counted by the requester's region where the header
// Celerypost-Region gives it.
class Origin : public StandIn {
 public:
  Origin(Loop& loop, Json settings);

 protected:
  void Handle(HttpRequest request,
              std::shared_ptr<HttpResponder> responder) override;
  Json Control(const Json& command) override;
  Json Figures() const override;

 private:
  // Sends `bytes` when the link has transferred them and all bytes accepted
  // before them; refuses with 429 if it would wait over "max_wait_ms" to start.
  void SendPaced(int status,
                 std::string bytes,
                 const std::string& region,
                 const std::shared_ptr<HttpResponder>& responder);
  bool Chance(int64_t percent);
  void Refuse(HttpResponder& responder, int64_t wait_ms);

  std::map<std::string, std::unique_ptr<Artefact>> artefacts;
  std::map<std::string, std::string> objects;
  std::mt19937_64 random{7};
  double mbit = 0;
  int64_t max_wait_ms = 1000;
  int64_t corrupt_percent = 0;
  int64_t truncate_percent = 0;
  int64_t refuse = 0;
  // Time at which the transfer of all accepted bytes ends.
  double link_free_ms = 0;
  int64_t requests = 0;
  int64_t refused = 0;
  int64_t corrupted = 0;
  uint64_t bytes = 0;
  std::map<std::string, uint64_t> bytes_by_region;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_ORIGIN_H_
