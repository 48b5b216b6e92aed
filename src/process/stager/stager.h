#ifndef SRC_PROCESS_STAGER_STAGER_H_
#define SRC_PROCESS_STAGER_STAGER_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/process/drain_policy.h"
#include "src/process/node_core.h"
#include "src/process/stager/copy_check.h"
#include "src/process/stager/load_orders.h"
#include "src/process/stager/load_planner.h"
#include "src/process/stager/model_target.h"
#include "src/process/stager/pace_watch.h"
#include "src/version/chunk_planner.h"
#include "src/version/digest_source.h"
#include "src/version/load_proof.h"
#include "src/version/load_schedule.h"
#include "src/version/staged_copy.h"
#include "src/version/stager_planning.h"
#include "src/version/switch_planner.h"
#include "src/version/version_choice.h"

namespace celerypost {

struct StagerOptions {
  // How often the target's state is polled while weights are being staged or
  // loaded or the target's pace varies, and otherwise.
  std::chrono::milliseconds busy_poll_period{100};
  std::chrono::milliseconds idle_poll_period{250};
  // Time after which a beat is due to all peers but the stagers of other
  // regions, which `beats` limits further. Changes are sent sooner.
  std::chrono::milliseconds beat_period{1000};
  StagerBeatOptions beats;
  PaceWatchOptions pace;
  // Staged chunks can become corrupt, so the target is ordered to load them
  // only within this time after they were checked.
  std::chrono::milliseconds check_lifetime{1000};
  // How long before the planned time of an order the chunks are checked, so
  // that the order is sent at that time: gateways send the target no requests
  // then.
  std::chrono::milliseconds check_lead{500};
  StagedCopyOptions staged_copy;
  DigestSourceOptions digest_source;
  LoadScheduleOptions schedule;
  VersionChoiceOptions version_choice;
  // The chunks that a peer has announced to be fetching are available to other
  // stagers again when it has been silent for this long: two of its beats to
  // other regions while it is staging.
  std::chrono::milliseconds claim_lifetime{1000};
  LoadOrderOptions orders;
  StagerUploadOptions uploads;
  // Delay before digests are requested again after a failure.
  std::chrono::milliseconds digests_retry_delay{150};
  // Staged chunks that are read at the same time during a check.
  size_t max_concurrent_checks = 8;
};

// The process that runs on the VM of a model target. It stages the weights
// version that operators named, verifies the chunks, orders the target to load
// them, and serves chunks to other stagers.
class Stager {
 public:
  using OriginFactory =
      std::function<std::unique_ptr<WeightOrigin>(const SocketAddress&)>;

  Stager(NodeDependencies dependencies,
         ModelTarget& target,
         OriginFactory make_origin,
         StagerOptions options);

  // Binds the internal ports. Fails with kUnavailable.
  Result<void> Start();
  // Starts a graceful shutdown; the loop stops when the lease has ended and the
  // chunks that peers are receiving have been sent.
  void Stop();

 private:
  // The weights to stage and load.
  struct Goal {
    int64_t version = 0;
    ChunkDigests digests;
  };

  void Step();
  void OnReport(const Result<TargetReport>& report, TimePoint asked_at);
  // Takes up which weights the target has loaded and may serve.
  void UpdateServingVersion();
  void LogTargetWeights(int64_t version_before);
  void UpdateGoal();
  void AskForDigests(int64_t version);
  void AskPeerForDigests(InstanceId peer, int64_t version);
  void AskOriginForDigests(int64_t version);
  void OnDigests(int64_t version, const Result<ChunkDigests>& digests);
  // Returns why the digests cannot be those of the service's weights; empty if
  // nothing speaks against them.
  std::string_view FindDigestsFault(const ChunkDigests& received) const;
  void SetGoal(ChunkDigests digests);
  // Stops staging; the answers to calls for the goal are ignored.
  void DropGoal();
  // Returns the chunks of the current goal for the planner.
  ChunkGoal MakeChunkGoal() const;
  void RequestDigests(InstanceId peer,
                      int64_t version,
                      std::unique_ptr<HttpCall>& call,
                      std::function<void(Result<ChunkDigests>)> done);
  void DropExpiredClaims();
  void Fetch();
  void FetchChunk(const FetchAction& action);
  // Logs when the origin stops or begins to answer. `failure` is null for an
  // answer.
  void NoteOriginAnswer(const Failure* failure);
  void OnBytes(const FetchAction& action, const Result<std::string>& bytes);
  // Handles bytes that do not have the expected digest. Either they or the
  // digests of this process are corrupt, so the source is asked for its
  // digests.
  void OnWrongDigest(const FetchAction& action, const std::string& bytes);
  // If the source's digests name the bytes that it sent, they replace those of
  // this process, except for chunks that are held; the bytes are then staged.
  void CompareDigests(const FetchAction& action,
                      const std::string& bytes,
                      const Result<ChunkDigests>& received);
  // Bytes that are staged under the numbers of all chunks with their digest,
  // one after the other.
  struct StagedBytes {
    FetchAction action;
    std::string bytes;
    std::vector<size_t> numbers;
    size_t next = 0;
  };
  // Stages bytes that have the digest of the chunk.
  void Stage(const FetchAction& action, const std::string& bytes);
  void StageNextNumber(const std::shared_ptr<StagedBytes>& staged);
  void OnStaged(const FetchAction& action, const Result<void>& put);
  // Returns the numbers of the chunks with this digest.
  std::vector<size_t> NumbersOf(const Digest& digest) const;
  // Returns the first of them; the number of chunks if there is none.
  size_t NumberOf(const Digest& digest) const;
  // Reads chunks back; those without a good read since `since` must turn out
  // good for the check to succeed.
  void StartCheck(std::vector<size_t> numbers, TimePoint since);
  void OnChunkRead(size_t number,
                   TimePoint started,
                   const Result<std::string>& bytes);
  void OnCheckDone();
  // Handles a staged chunk that is missing or has a wrong digest.
  void OnBadChunk(size_t number);
  // Orders the target to load once all chunks are staged and verified and the
  // planned time has come. Starts a check when the last one is too old.
  void MaybeOrderLoad();
  void OrderLoad();
  void OnLoadAnswer(int64_t version,
                    TimePoint ordered_at,
                    const Result<void>& taken);
  // Proves what the target has loaded, or has it given up if that is disproven.
  // Returns whether the staged chunks are not to be loaded for now.
  bool ResolveLoad();
  // The target is busy from now on until a report says otherwise that was asked
  // for later.
  void NoteOrderAccepted();
  // Logs and announces what has become of the load since `before`.
  void OnLoadProofChanged(LoadProof::State before);
  LoadOrder MakeOrder(int64_t version) const;
  // When the weights that the target serves, or is loading, were superseded;
  // nothing when they were not.
  std::optional<TimePoint> SupersededAt() const;
  // The rate of this VM's link or of the origin's, whichever is slower, in
  // bytes per second.
  double StagingRate() const;
  // What the planner of loads needs to know about the goal.
  LoadFacts FactsOfLoad() const;
  // When to order the target to load; at once if it serves nothing.
  TimePoint PlannedLoadTime();
  void OnBeat(const Peer& peer);
  // Passes what is known of a peer on to the planners.
  void UpdatePeer(const Peer& peer);
  // Passes the stagers of other regions on to the chunk planner, as they are
  // registered in the key-value service.
  void UpdateFarStagers();
  // Returns the addresses of the stagers of other regions that must learn what
  // this one fetches from the origin or across regions.
  std::vector<std::string> FarNewsReceivers() const;
  void SendBeat(bool to_all);
  // Sends a beat as soon as the least gap between beats allows; several calls
  // before it are merged. `to_all`: to gateways as well as to stagers.
  void ScheduleBeat(bool to_all);
  bool HandleInternalRequest(const HttpRequest& request,
                             const std::shared_ptr<HttpResponder>& responder);
  struct Upload {
    size_t number = 0;
    int64_t version = 0;
    // Position of the peer in the order in which targets load, from 0.
    int64_t turn = 0;
    std::shared_ptr<HttpResponder> responder;
  };

  void ServeChunk(Upload upload);
  void UploadNext();
  void SendChunk(const Upload& upload, const Result<std::string>& bytes);
  void OnUploadTimer();
  // Stops the loop when nothing is left to send.
  void CheckStop();
  int64_t StagedVersion() const;
  // Whether the current goal is completed before a newer version is staged.
  bool ShouldFinishGoalFirst();
  // Whether the staged chunks must not be replaced now, since the target is
  // ordered to load them or may still be reading them.
  bool CopyIsBeingLoaded() const;
  void ServeDigests(int64_t version,
                    const std::shared_ptr<HttpResponder>& responder);
  // The service that distributes weights; null when none is configured.
  const ServiceConfig* OriginService() const;
  // Null when no configured service has an origin of weights, or when the
  // origin's address is malformed.
  WeightOrigin* Origin();
  // The service of this VM's target; null while it is not known, or when it
  // has no engine.
  const ServiceConfig* Service() const;
  int64_t WantedVersion() const;
  bool ServesAtLeast(int64_t version) const;
  // Empty when no peer has this instance.
  std::string IpOf(InstanceId instance);
  // Identifies a version of the model's weights in the planners.
  Digest WeightSetDigest(int64_t version) const;
  HaveAnnouncement HeldChunks() const;

  NodeDependencies dependencies;
  ModelTarget& target;
  OriginFactory make_origin;
  StagerOptions options;
  NodeCore core;
  std::mt19937_64 random;
  ChunkPlanner chunk_planner;
  SwitchPlanner switch_planner;
  std::string model;
  uint32_t layers = 1;
  std::unique_ptr<WeightOrigin> origin;
  std::string origin_address;
  std::optional<TargetReport> target_report;
  // Version of the complete weights that the target has loaded, 0 for none.
  int64_t held_version = 0;
  // The same, or 0 while it is not proven that they are the verified ones.
  int64_t serving_version = 0;
  std::optional<Goal> goal;
  bool digests_requested = false;
  // The last digests received. They are served to peers and reused when the
  // same version is staged again.
  std::optional<ChunkDigests> digests;
  // The version whose digests are needed, and since when.
  int64_t needed_digests_version = 0;
  TimePoint digests_needed_since{};
  TimePoint next_digests_request{};
  // The version for which a failed request of digests has been logged.
  int64_t logged_digests_failure_version = 0;
  bool report_requested = false;
  StagedCopy staged_copy;
  CopyCheck copy_check;
  LoadOrders orders;
  LoadPlanner load_planner;
  LoadProof load_proof;
  // Whether the check adds valid chunks to those held, besides dropping bad
  // ones.
  bool check_adds_chunks = false;
  // Valid chunks that the check has read, by digest.
  std::unordered_map<Digest, size_t> valid_copies;
  // When the last check of all chunks ended well.
  std::optional<TimePoint> checked_at;
  // Writes to the target that have not been answered.
  size_t running_writes = 0;
  bool loading = false;
  // Size of the last chunk that was fetched or read, 0 before the first.
  size_t chunk_bytes = 0;
  std::optional<int64_t> first_check_of;
  // Chunk requests to peers that are in flight.
  std::map<Digest, std::unique_ptr<HttpCall>> peer_fetches;
  std::unique_ptr<HttpCall> digests_call;
  // The digests of a source are being compared with those of this process.
  bool comparing_digests = false;
  std::unique_ptr<HttpCall> comparison_call;
  StagerBeats beats;
  PaceWatch pace_watch;
  Timer step_timer;
  Timer beat_timer;
  Timer upload_timer;
  // Runs MaybeOrderLoad at the planned time.
  Timer order_timer;
  Timer stop_timer;
  DrainPolicy drain_policy;
  bool stopping = false;
  // The call that ends the lease has been answered.
  bool lease_ended = false;
  // Stagers of other regions that the chunk planner knows.
  std::map<std::string, InstanceId> far_stagers;
  TimePoint last_beat{};
  TimePoint last_full_beat{};
  bool beat_to_all = false;
  bool beat_planned = false;
  Counter& chunks_from_peers;
  Counter& chunks_from_origin;
  Counter& chunks_bad;
  Counter& corrected_digests;
  Counter& unproven_loads;
  Counter& disproven_loads;
  bool origin_available = true;
  // Chunks being read or occupying the link.
  size_t active_uploads = 0;
  std::deque<Upload> waiting_uploads;
  // When the chunks that were sent last no longer occupy the link, ascending.
  std::deque<TimePoint> upload_end_times;
  // Incremented with each goal; callbacks of earlier goals are ignored.
  uint64_t goal_generation = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STAGER_STAGER_H_
