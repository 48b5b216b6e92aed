#ifndef SRC_PROCESS_ENGINE_CLIENT_H_
#define SRC_PROCESS_ENGINE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "celerypost/verdict.h"
#include "src/connection/http_client.h"
#include "src/version/chunk_goal.h"
#include "src/version/digest.h"
#include "src/version/manifest.h"

namespace celerypost {

// The weight set that an engine serves.
struct EngineServing {
  std::string version;
  Digest set;

  bool operator==(const EngineServing&) const = default;
};

// The engine's report about itself, the answer to GET /health.
struct EngineHealth {
  // Changes whenever the engine restarts.
  std::string start_id;
  bool warm = false;
  std::optional<EngineServing> serving;
  // Sets that are assembled and verified.
  std::vector<Digest> loaded;
  // Highest fencing number that the engine has seen.
  uint64_t highest_fencing = 0;
  // Requests that run and that wait.
  uint32_t in_flight = 0;
  uint32_t queued = 0;
};

struct EngineLoadArtefact {
  Artefact artefact;
  // In the order of their offsets in the artefact.
  std::vector<Digest> chunks;
};

struct EngineLoadOrder {
  Digest set;
  std::string version;
  uint64_t fencing = 0;
  std::vector<EngineLoadArtefact> artefacts;
};

// Gives orders to the model engine on this VM: to store chunks as objects and
// to load, switch and unload weight sets (section 10.6). Callbacks run on the
// loop's thread, never before the function that takes them has returned. A
// failure with kConflict means that the fencing number was too old, kCorrupt
// that the engine found a wrong digest.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  virtual void Health(std::function<void(Result<EngineHealth>)> done) = 0;
  virtual void PutObject(const Digest& digest,
                         std::string content,
                         std::function<void(Result<void>)> done) = 0;
  virtual void GetObject(const Digest& digest,
                         std::function<void(Result<std::string>)> done) = 0;
  virtual void DeleteObject(const Digest& digest,
                            std::function<void(Result<void>)> done) = 0;
  // Assembles and verifies a set from stored objects.
  virtual void Load(const EngineLoadOrder& order,
                    std::function<void(Result<void>)> done) = 0;
  // Makes the engine serve a loaded set.
  virtual void Switch(const Digest& set,
                      uint64_t fencing,
                      std::function<void(Result<void>)> done) = 0;
  // Removes a loaded set.
  virtual void Unload(const Digest& set,
                      uint64_t fencing,
                      std::function<void(Result<void>)> done) = 0;
};

struct HttpEngineClientOptions {
  // Longest time without data from the engine. Long, because the engine sends
  // nothing while it assembles a set to load.
  std::chrono::milliseconds order_timeout{120000};
  std::chrono::milliseconds health_timeout{2000};
};

// EngineClient over HTTP with JSON bodies.
class HttpEngineClient : public EngineClient {
 public:
  HttpEngineClient(Loop& loop,
                   SocketAddress engine,
                   HttpEngineClientOptions options);
  ~HttpEngineClient() override;

  void Health(std::function<void(Result<EngineHealth>)> done) override;
  void PutObject(const Digest& digest,
                 std::string content,
                 std::function<void(Result<void>)> done) override;
  void GetObject(const Digest& digest,
                 std::function<void(Result<std::string>)> done) override;
  void DeleteObject(const Digest& digest,
                    std::function<void(Result<void>)> done) override;
  void Load(const EngineLoadOrder& order,
            std::function<void(Result<void>)> done) override;
  void Switch(const Digest& set,
              uint64_t fencing,
              std::function<void(Result<void>)> done) override;
  void Unload(const Digest& set,
              uint64_t fencing,
              std::function<void(Result<void>)> done) override;

  // Parses the body of GET /health; errors name the field.
  static Result<EngineHealth> ParseHealth(std::string_view json);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_ENGINE_CLIENT_H_
