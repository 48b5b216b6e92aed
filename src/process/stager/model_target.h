#ifndef SRC_PROCESS_STAGER_MODEL_TARGET_H_
#define SRC_PROCESS_STAGER_MODEL_TARGET_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "celerypost/verdict.h"
#include "src/request/target_registration.h"
#include "src/version/digest.h"

namespace celerypost {

// What an order to load does with the requests that run at the target.
enum class LoadMode : uint8_t {
  // Waits until they are done.
  kAfterRunning,
  // Breaks them off.
  kInterrupt,
};

// The current state of a target, as reported by it.
struct TargetReport {
  std::vector<HeldModel> models;
  // The target is carrying out an order to load.
  bool busy = false;
  // Number of orders that the target has started to carry out.
  int64_t sequence = 0;
  // The target leaves.
  bool leaving = false;
  // Factor of the time that the target takes for everything now; absent if it
  // does not say.
  std::optional<double> pace;
};

// The model target on this VM. Each callback runs once, on the loop.
class ModelTarget {
 public:
  virtual ~ModelTarget() = default;

  // Asks the target for its current state.
  virtual void GetReport(std::function<void(Result<TargetReport>)> done) = 0;
  // Orders the target to load the staged chunks. The order is valid only while
  // the target's sequence is `sequence`. Fails with kConflict when the target's
  // state does not allow it.
  virtual void Load(const std::string& model,
                    int64_t version,
                    int64_t sequence,
                    LoadMode mode,
                    std::function<void(Result<void>)> done) = 0;
  // Orders the target to give up the weights that it has loaded. Requests and
  // failures are as for Load.
  virtual void Unload(const std::string& model,
                      int64_t version,
                      int64_t sequence,
                      LoadMode mode,
                      std::function<void(Result<void>)> done) = 0;
  // Stages a chunk. `number` is its index in the model's chunks, from 0.
  virtual void PutChunk(const std::string& model,
                        size_t number,
                        std::string bytes,
                        std::function<void(Result<void>)> done) = 0;
  // Reads a staged chunk. Fails with kNotFound when it is not staged.
  virtual void GetChunk(const std::string& model,
                        size_t number,
                        std::function<void(Result<std::string>)> done) = 0;
};

// Digests of the chunks of one version of a model, in chunk order.
struct ChunkDigests {
  std::string model;
  int64_t version = 0;
  std::vector<Digest> digests;
};

// The server that provides the original copy of all weights.
class WeightOrigin {
 public:
  virtual ~WeightOrigin() = default;

  virtual void GetDigests(const std::string& model,
                          int64_t version,
                          std::function<void(Result<ChunkDigests>)> done) = 0;
  virtual void GetChunk(const std::string& model,
                        int64_t version,
                        size_t number,
                        std::function<void(Result<std::string>)> done) = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STAGER_MODEL_TARGET_H_
