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

// The weight version that operators want the targets of a model to serve.
struct NamedWeights {
  std::string model;
  int64_t version = 0;
};

// An availability zone that operators have taken out.
struct ZoneOut {
  ZoneName zone;
};

// A document that this process does not use.
struct UnusedDocument {};

using ClusterDocument = std::variant<UnusedDocument,
                                     std::shared_ptr<const GatewayConfig>,
                                     TargetRegistration,
                                     NamedWeights,
                                     ZoneOut>;

// Decodes the documents that operators and targets store in the key-value
// service.
class DocumentDecoder {
 public:
  virtual ~DocumentDecoder() = default;

  // Key prefix of the operators' documents.
  virtual std::string OperatorPrefix() const = 0;
  // Key prefix of the targets' registrations.
  virtual std::string TargetPrefix() const = 0;
  // Fails with kInvalidArgument for a malformed document; the message names the
  // field.
  virtual Result<ClusterDocument> Decode(std::string_view key,
                                         std::string_view value) const = 0;
  // Returns the document without the fields that only gateways use. Stagers
  // have slow links, over which a configuration of many routes takes up to a
  // second.
  virtual std::string ReduceForStagers(std::string_view /*key*/,
                                       const std::string& value) const {
    return value;
  }
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_CLUSTER_DOCUMENT_H_
