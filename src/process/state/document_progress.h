#ifndef SRC_PROCESS_STATE_DOCUMENT_PROGRESS_H_
#define SRC_PROCESS_STATE_DOCUMENT_PROGRESS_H_

#include <cstdint>

#include "src/process/key_value_client.h"

namespace celerypost {

// How much of the key-value service's content a process has seen.
struct DocumentProgress {
  // All changes up to this position.
  StorePosition position;
  // The last change of an operators' document, in the same era.
  StorePosition operator_position;
  // Version of the configuration in force; 0 for none. It never goes back, so
  // it may be ahead of a service that was restored from an older copy.
  int64_t config_version = 0;
};

// Whether a process with `own` lacks a change that one with `other` has seen.
// `all_documents`: both hold all documents, not only the operators'.
inline bool LacksDocuments(const DocumentProgress& own,
                           const DocumentProgress& other,
                           bool all_documents) {
  return other.operator_position > own.position ||
         (all_documents && other.position > own.position);
}

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_DOCUMENT_PROGRESS_H_
