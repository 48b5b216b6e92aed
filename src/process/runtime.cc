#include "src/process/runtime.h"

#include <bit>
#include <ctime>
#include <random>
#include <utility>

#include "src/process/audit_record.h"

namespace celerypost {

namespace {

constexpr std::chrono::milliseconds kUpdatePeriod{1000};
// Pauses of this length are logged. Peers take a process for silent after three
// times as long.
constexpr std::chrono::milliseconds kLongPause{500};

InstanceId MakeRandomInstance() {
  std::random_device device;
  const uint64_t high = device();
  // Sets the lowest bit, as 0 means "no instance".
  return InstanceId{(high << 32 | device()) | 1};
}

std::string_view RoleName(Role role) {
  return role == Role::kEntry ? "entry" : "agent";
}

LogOptions MakeLogOptions(const CommonSettings& settings,
                          Role role,
                          InstanceId instance) {
  LogOptions options;
  options.level = settings.log_level;
  options.role = RoleName(role);
  options.zone = settings.zone;
  options.instance = instance;
  options.secrets = {std::string(settings.shared_key.bytes())};
  return options;
}

PeerIdentity MakeIdentity(const CommonSettings& settings,
                          Role role,
                          ServiceName service,
                          InstanceId instance,
                          std::chrono::milliseconds since_epoch) {
  PeerIdentity identity;
  identity.role = role;
  identity.instance = instance;
  identity.zone = settings.zone;
  identity.region = settings.region;
  identity.service = std::move(service);
  identity.address = settings.peer_address.ToString();
  identity.http_address = settings.http_address.ToString();
  identity.incarnation = static_cast<uint64_t>(since_epoch.count());
  return identity;
}

Member ToMember(const PeerIdentity& identity) {
  Member member;
  member.instance = identity.instance;
  member.role = identity.role;
  member.zone = identity.zone;
  member.region = identity.region;
  member.service = identity.service;
  member.address = identity.address;
  member.http_address = identity.http_address;
  member.incarnation = identity.incarnation;
  return member;
}

}  // namespace

Runtime::Runtime(const CommonSettings& settings, Role role, ServiceName service)
    : scheduler(loop),
      instance(MakeRandomInstance()),
      identity(MakeIdentity(settings,
                            role,
                            std::move(service),
                            instance,
                            scheduler.UnixTime())),
      log(MakeLogOptions(settings, role, instance)),
      random(std::random_device()() ^ instance.value),
      settings(settings),
      peer_key(settings.shared_key) {}

Result<std::unique_ptr<Runtime>> Runtime::Make(const CommonSettings& settings,
                                               Role role,
                                               ServiceName service) {
  // The constructor is private, so std::make_unique cannot be used.
  std::unique_ptr<Runtime> runtime(
      new Runtime(settings, role, std::move(service)));
  AuditTrailOptions audit_options;
  audit_options.path = settings.audit_file;
  auto audit = AuditTrail::Make(std::move(audit_options));
  if (!audit) {
    return tl::unexpected<Failure>(audit.error());
  }
  runtime->audit = std::move(*audit);
  return runtime;
}

Result<void> Runtime::Start(KeyValueClient* key_value, Handlers new_handlers) {
  this->handlers = std::move(new_handlers);
  PeerMeshHandlers mesh_handlers;
  mesh_handlers.on_open = [this](PeerConnection& connection) {
    this->OnOpen(connection);
  };
  mesh_handlers.on_frame = [this](PeerConnection& from, Frame frame) {
    this->OnFrame(from, std::move(frame));
  };
  mesh_handlers.on_closed = [this](PeerConnection& connection, bool last,
                                   std::string_view reason) {
    this->OnClosed(connection, last, reason);
  };
  auto new_mesh = PeerMesh::Make(this->loop, this->identity, this->peer_key,
                                 this->settings.peer_address, PeerMeshOptions{},
                                 std::move(mesh_handlers));
  if (!new_mesh) {
    return tl::unexpected<Failure>(new_mesh.error());
  }
  this->mesh = std::move(*new_mesh);

  Member self = ToMember(this->identity);
  GossipTaskOptions gossip_options;
  for (const SocketAddress& seed : this->settings.seeds) {
    gossip_options.seeds.push_back(seed.ToString());
  }
  this->gossip =
      std::make_unique<GossipTask>(std::move(gossip_options), std::move(self),
                                   this->scheduler, *this->mesh, key_value);
  this->gossip->OnDocument([this](const VersionedDocument& document) {
    this->OnDocument(document);
  });
  this->gossip->OnMembersChanged(
      [this] { this->handlers.on_members_changed(); });
  this->gossip->Start();

  this->membership_client = std::make_unique<MembershipClient>(
      this->loop, this->settings.membership_address, MembershipClientOptions{},
      [this](std::vector<PlatformMember> list) {
        this->OnPlatformList(std::move(list));
      },
      [this](const Failure& failure) {
        if (!std::exchange(this->membership_unavailable, true)) {
          this->log.Warn("membership_unavailable", failure.message);
        }
      });
  this->membership_client->Start();
  this->metrics_timer =
      std::make_unique<Timer>(this->loop, [this] { this->UpdateMetrics(); });
  this->metrics_timer->StartRepeating(kUpdatePeriod);
  return {};
}

void Runtime::OnPlatformList(std::vector<PlatformMember> list) {
  if (std::exchange(this->membership_unavailable, false)) {
    this->log.Info("membership_available",
                   "the membership list can be read again");
  }
  this->gossip->OnPlatformList(list);
}

void Runtime::OnFrame(PeerConnection& from, Frame frame) {
  switch (frame.header.kind) {
    case wire::Kind::HEARTBEAT:
    case wire::Kind::PULL_DOCUMENT:
    case wire::Kind::DOCUMENT:
      if (const auto taken = this->gossip->OnFrame(from.peer().instance, frame);
          !taken && std::has_single_bit(this->gossip->counters().bad_frames)) {
        this->log.Warn("bad_frame", taken.error().message,
                       {{"peer", FormatInstance(from.peer().instance)},
                        {"address", from.peer().address},
                        {"total", this->gossip->counters().bad_frames}});
      }
      return;
    default:
      this->handlers.on_frame(from, std::move(frame));
  }
}

void Runtime::OnOpen(PeerConnection& connection) {
  this->log.Debug("peer_connected", "a connection to a peer is open",
                  {{"peer", FormatInstance(connection.peer().instance)},
                   {"address", connection.peer().address}});
  if (this->gossip) {
    this->gossip->OnPeerConnected(ToMember(connection.peer()));
  }
  this->handlers.on_open(connection);
}

void Runtime::OnClosed(PeerConnection& connection,
                       bool last,
                       std::string_view reason) {
  this->log.Info("peer_disconnected", reason,
                 {{"peer", FormatInstance(connection.peer().instance)},
                  {"address", connection.peer().address},
                  {"last", last}});
  this->handlers.on_closed(connection);
  if (last && this->gossip) {
    this->gossip->OnPeerDisconnected(connection.peer().instance);
  }
}

void Runtime::OnDocument(const VersionedDocument& document) {
  if (document.key == kConfigKey) {
    const ConfigDocument& config = this->gossip->config().Current();
    this->log.Info("config_in_force", "a newer configuration is in force",
                   {{"number", config.number},
                    {"change", config.change.id},
                    {"kind", ChangeKindName(config.change.kind)}});
    const auto written =
        this->audit->Append(ToAuditRecord(config.number, config.change));
    if (!written) {
      this->log.Error("audit_write_failed", written.error().message);
    }
  }
  this->handlers.on_document(document);
}

void Runtime::CheckForPause() {
  const TimePoint now = this->loop.Now();
  const std::chrono::milliseconds used(std::clock() * 1000 / CLOCKS_PER_SEC);
  const auto gap = this->last_update
                       ? std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - *this->last_update)
                       : std::chrono::milliseconds(0);
  if (gap >= kUpdatePeriod + kLongPause) {
    this->log.Warn("process_paused", "the event loop did not run in time",
                   {{"late_ms", (gap - kUpdatePeriod).count()},
                    {"processor_ms", (used - this->processor_time).count()}});
  }
  this->last_update = now;
  this->processor_time = used;
}

void Runtime::UpdateMetrics() {
  this->CheckForPause();
  const GossipCounters& counts = this->gossip->counters();
  const auto set = [this](std::string_view name, std::string_view help,
                          double value) {
    this->metrics.AddGauge(name, help).Set(value);
  };
  set("celerypost_config_number", "Number of the configuration in force.",
      static_cast<double>(this->gossip->config().number()));
  set("celerypost_isolated", "1 while no new work may be given.",
      this->gossip->MayGiveNewWork() ? 0 : 1);
  set("celerypost_gossip_sent_bytes", "Bytes of gossip sent.",
      static_cast<double>(counts.bytes_sent));
  set("celerypost_gossip_received_bytes", "Bytes of gossip received.",
      static_cast<double>(counts.bytes_received));
  set("celerypost_peer_sent_bytes", "Bytes sent to peers of all kinds.",
      static_cast<double>(this->mesh->bytes_sent()));
  set("celerypost_peer_received_bytes", "Bytes received from peers.",
      static_cast<double>(this->mesh->bytes_received()));
  set("celerypost_members", "Members that are not dead.",
      static_cast<double>(this->gossip->membership().NotDead().size()));
}

}  // namespace celerypost
