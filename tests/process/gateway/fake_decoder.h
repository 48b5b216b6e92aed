#ifndef TESTS_PROCESS_GATEWAY_FAKE_DECODER_H_
#define TESTS_PROCESS_GATEWAY_FAKE_DECODER_H_

#include <map>
#include <string>
#include <string_view>

#include "src/process/state/cluster_document.h"

namespace celerypost {

// Returns the documents that a test has stored by key.
class FakeDecoder : public DocumentDecoder {
 public:
  std::string OperatorPrefix() const override { return ""; }
  std::string TargetPrefix() const override { return ""; }
  Result<ClusterDocument> Decode(std::string_view key,
                                 std::string_view) const override {
    return this->documents.at(std::string(key));
  }
  std::map<std::string, ClusterDocument> documents;
};

}  // namespace celerypost

#endif  // TESTS_PROCESS_GATEWAY_FAKE_DECODER_H_
