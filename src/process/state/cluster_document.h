#ifndef SRC_PROCESS_STATE_CLUSTER_DOCUMENT_H_
#define SRC_PROCESS_STATE_CLUSTER_DOCUMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "celerypost/types.h"
#include "celerypost/verdict.h"
#include "src/request/gateway_config.h"
#include "src/request/target_registration.h"

namespace celerypost {

// The weights that the targets of a model are to hold.
struct NamedWeights {
  std::string model;
  int64_t version = 0;
};

// An availability zone that operators have taken out.
struct ZoneOut {
  ZoneName zone;
};

// A key that holds nothing this process uses.
struct UnusedDocument {};

using ClusterDocument = std::variant<UnusedDocument,
                                     std::shared_ptr<const GatewayConfig>,
                                     TargetRegistration,
                                     NamedWeights,
                                     ZoneOut>;

// Reads what operators and targets keep in the key-value service. A document
// that cannot be read fails with kInvalidArgument, naming the field.
class DocumentDecoder {
 public:
  virtual ~DocumentDecoder() = default;

  // Prefixes of the keys that hold operators' documents, and those that hold
  // targets.
  virtual std::string OperatorPrefix() const = 0;
  virtual std::string TargetPrefix() const = 0;
  virtual Result<ClusterDocument> Decode(std::string_view key,
                                         std::string_view value) const = 0;
  // The document without what only gateways use. Stagers have narrow links, and
  // a configuration of many routes takes up to a second on one.
  virtual std::string ReduceForStagers(std::string_view /*key*/,
                                       const std::string& value) const {
    return value;
  }
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_CLUSTER_DOCUMENT_H_
