#ifndef SRC_VERSION_LOAD_PROOF_H_
#define SRC_VERSION_LOAD_PROOF_H_

#include <cstdint>
#include <vector>

#include "celerypost/types.h"
#include "src/version/staged_copy.h"

namespace celerypost {

// Whether the weights that a target has loaded are those that were verified.
// The target takes the staged chunks when it accepts an order, which may be
// later than planned: its reads or the order may be slow, or the answer to the
// order may be lost. What it has loaded is used only once that is proven.
class LoadProof {
 public:
  enum class State : uint8_t {
    // No order of this process counts.
    kNone,
    // An order was sent, and it is not known whether it was accepted.
    kOrdered,
    // Accepted, or ordered by an earlier process of this VM; chunks must be
    // read again to prove the load.
    kVerifying,
    kProven,
    // A chunk was bad, or the staged chunks were replaced before the proof.
    kDisproven,
  };

  // An order for `version` is being sent to a target with this sequence.
  void OnOrder(int64_t version, int64_t sequence);
  // The order was not accepted, and never will be. What was known of the
  // version's earlier loads still holds.
  void OnRefused();
  // The target has answered that it accepted the order, or must have accepted
  // it by `now`.
  void OnAccepted(const StagedCopy& copy, TimePoint now);
  // The target's state, which was asked for at `asked_at` and arrived at `now`.
  // `held_version` is that of the complete weights that it has loaded, 0 for
  // none.
  struct Report {
    int64_t held_version = 0;
    bool busy = false;
    int64_t sequence = 0;
    TimePoint asked_at{};
  };
  void OnReport(const Report& report, const StagedCopy& copy, TimePoint now);
  // Chunks have been read back since the acceptance.
  void OnRead(const StagedCopy& copy);
  // A staged chunk is bad, or those of another version begin to replace the
  // staged ones.
  void OnCopyInvalid();

  State state() const { return this->current; }
  int64_t version() const { return this->ordered_version; }
  // Returns the chunks to read in the state kVerifying.
  std::vector<size_t> ChunksToRead(const StagedCopy& copy) const;
  // Whether a complete load of `held_version` may serve requests.
  bool MayServe(int64_t held_version) const;

 private:
  State current = State::kNone;
  // 0 for an order of an earlier process, until the target holds its version.
  int64_t ordered_version = 0;
  int64_t sequence_before = 0;
  TimePoint accepted_by{};
  // A staged chunk was bad or replaced after an earlier order, maybe of an
  // earlier process, whose load the target may hold.
  bool copy_replaced = false;
  // What was known before this order of the loads of its version, and the value
  // of copy_replaced then; both hold again when the order is refused.
  State before_order = State::kNone;
  bool replaced_before_order = false;
  // Version of an earlier order that was not proven, 0 for none. The target may
  // hold it until it has loaded another one.
  int64_t distrusted_version = 0;
};

}  // namespace celerypost

#endif  // SRC_VERSION_LOAD_PROOF_H_
