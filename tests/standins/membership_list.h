#ifndef TESTS_STANDINS_MEMBERSHIP_LIST_H_
#define TESTS_STANDINS_MEMBERSHIP_LIST_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/standins/stand_in.h"

namespace celerypost::standins {

// A fake of the platform's list of VMs. Changes become visible after "lag_ms".
//
// Commands: {"put": {"vm", ...}} adds or replaces a VM; {"remove": "<vm>"}
// removes it.
class MembershipList : public StandIn {
 public:
  MembershipList(Loop& loop, Json settings);

 protected:
  void Handle(HttpRequest request,
              std::shared_ptr<HttpResponder> responder) override;
  Json Control(const Json& command) override;
  Json Figures() const override;

 private:
  struct Change {
    int64_t at_ms = 0;
    std::string vm;
    // Null to remove the VM.
    Json member;
  };

  // Applies the changes that are at least `lag_ms` old.
  void ApplyDueChanges();

  int64_t lag_ms = 300;
  std::vector<Change> pending;
  std::map<std::string, Json> visible;
  int64_t requests = 0;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_MEMBERSHIP_LIST_H_
