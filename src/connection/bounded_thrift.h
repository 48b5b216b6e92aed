#ifndef SRC_CONNECTION_BOUNDED_THRIFT_H_
#define SRC_CONNECTION_BOUNDED_THRIFT_H_

#include <cstddef>
#include <string_view>

#include <thrift/TBase.h>

#include "celerypost/verdict.h"

namespace celerypost {

// Most elements of one list of a message: the records of a full ledger
// (RequestLedgerOptions::max_records).
inline constexpr size_t kMaxListElements = 65536;

// Reads `message`, a struct of messages.thrift in the compact protocol, from
// the start of `bytes` and returns the number of bytes read. Takes memory for
// no string or list that the rest of `bytes` cannot hold. Fails with
// kInvalidArgument when the bytes are malformed or a list has more than
// kMaxListElements; `message` is then unspecified.
Result<size_t> ReadBoundedThrift(std::string_view bytes,
                                 apache::thrift::TBase& message);

}  // namespace celerypost

#endif  // SRC_CONNECTION_BOUNDED_THRIFT_H_
