#ifndef SRC_PROCESS_STAGER_MODEL_TARGET_H_
#define SRC_PROCESS_STAGER_MODEL_TARGET_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "celerypost/verdict.h"
#include "src/request/target_registration.h"
#include "src/version/digest.h"

namespace celerypost {

// What a target says about itself, fresh.
struct TargetReport {
  std::vector<HeldModel> models;
  // An order is under way.
  bool busy = false;
  // Orders that began something.
  int64_t sequence = 0;
};

// The target of this VM. Callbacks run once, from the loop.
class ModelTarget {
 public:
  virtual ~ModelTarget() = default;

  virtual void Report(std::function<void(Result<TargetReport>)> done) = 0;
  // Loads what is staged, after the running requests, if the target's sequence
  // is still `sequence`. Fails with kConflict when the order does not fit the
  // target's state.
  virtual void Load(const std::string& model,
                    int64_t version,
                    int64_t sequence,
                    std::function<void(Result<void>)> done) = 0;
  virtual void PutChunk(const std::string& model,
                        size_t number,
                        std::string bytes,
                        std::function<void(Result<void>)> done) = 0;
  // Fails with kNotFound when the chunk is not staged.
  virtual void GetChunk(const std::string& model,
                        size_t number,
                        std::function<void(Result<std::string>)> done) = 0;
};

// Digests of the chunks of one version of a model, in order.
struct ChunkDigests {
  std::string model;
  int64_t version = 0;
  std::vector<Digest> digests;
};

// The origin of weights.
class WeightOrigin {
 public:
  virtual ~WeightOrigin() = default;

  virtual void Digests(const std::string& model,
                       int64_t version,
                       std::function<void(Result<ChunkDigests>)> done) = 0;
  virtual void Chunk(const std::string& model,
                     int64_t version,
                     size_t number,
                     std::function<void(Result<std::string>)> done) = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STAGER_MODEL_TARGET_H_
