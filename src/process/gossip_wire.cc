#include "src/process/gossip_wire.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace celerypost {
namespace {

// Values of wire::Member.state.
enum WireState : int32_t {
  kWireLive = 0,
  kWireLeaving = 1,
  kWireDead = 2,
  kWireLiveSuspected = 3,
  kWireLeavingSuspected = 4,
};

int32_t StateToWire(const Member& member) {
  switch (member.state) {
    case MemberState::kDead:
      return kWireDead;
    case MemberState::kLeaving:
      return member.suspected ? kWireLeavingSuspected : kWireLeaving;
    case MemberState::kLive:
      break;
  }
  return member.suspected ? kWireLiveSuspected : kWireLive;
}

tl::unexpected<Failure> OutOfRange(const std::string& field, int64_t value) {
  return NotRun(ErrorCode::kInvalidArgument,
                "field \"" + field + "\" is " + std::to_string(value));
}

}  // namespace

wire::Member ToWire(const Member& member) {
  wire::Member out;
  out.instance = static_cast<int64_t>(member.instance.value);
  out.role = static_cast<int32_t>(member.role);
  out.zone = member.zone.value();
  out.region = member.region.value();
  out.service_name = member.service.value();
  out.address = member.address;
  out.state = StateToWire(member);
  out.incarnation = static_cast<int64_t>(member.incarnation);
  out.http_address = member.http_address;
  out.serving = member.serving;
  out.warm = member.warm;
  out.switched = member.switched;
  return out;
}

Result<Member> FromWire(const wire::Member& member) {
  if (member.instance == 0) {
    return OutOfRange("member.instance", member.instance);
  }
  if (member.role < 0 || member.role > 1) {
    return OutOfRange("member.role", member.role);
  }
  if (member.state < kWireLive || member.state > kWireLeavingSuspected) {
    return OutOfRange("member.state", member.state);
  }
  Member out;
  out.instance = InstanceId{static_cast<uint64_t>(member.instance)};
  out.role = static_cast<Role>(member.role);
  out.zone = ZoneName(member.zone);
  out.region = RegionName(member.region);
  out.service = ServiceName(member.service_name);
  out.address = member.address;
  out.suspected = member.state == kWireLiveSuspected ||
                  member.state == kWireLeavingSuspected;
  if (member.state == kWireDead) {
    out.state = MemberState::kDead;
  } else if (member.state == kWireLeaving ||
             member.state == kWireLeavingSuspected) {
    out.state = MemberState::kLeaving;
  }
  out.incarnation = static_cast<uint64_t>(member.incarnation);
  out.http_address = member.http_address;
  out.serving = member.serving;
  out.warm = member.warm;
  out.switched = member.switched;
  return out;
}

wire::Heartbeat ToWire(const GossipHeartbeat& heartbeat) {
  wire::Heartbeat out;
  for (const AgedStamp& aged : heartbeat.stamps) {
    wire::Stamp stamp;
    stamp.witness = static_cast<int64_t>(aged.stamp.witness.value);
    stamp.region = aged.stamp.region.value();
    stamp.sequence = static_cast<int64_t>(aged.stamp.sequence);
    stamp.config_number = static_cast<int64_t>(aged.stamp.config_number);
    stamp.store_reachable = aged.stamp.store_reachable;
    // Rounded up, as an age must not be understated.
    stamp.age_ms = static_cast<int32_t>(std::min<int64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(aged.age).count(),
        std::numeric_limits<int32_t>::max()));
    out.stamps.push_back(std::move(stamp));
  }
  for (const Member& member : heartbeat.members) {
    out.members.push_back(ToWire(member));
  }
  for (const DocumentHead& document : heartbeat.documents) {
    wire::DocumentNumber number;
    number.key = document.key;
    number.number = static_cast<int64_t>(document.number);
    out.documents.push_back(std::move(number));
  }
  out.members_digest = static_cast<int64_t>(heartbeat.members_digest);
  return out;
}

Result<GossipHeartbeat> FromWire(const wire::Heartbeat& heartbeat) {
  GossipHeartbeat out;
  for (const wire::Stamp& stamp : heartbeat.stamps) {
    if (stamp.age_ms < 0) {
      return OutOfRange("stamp.age_ms", stamp.age_ms);
    }
    if (stamp.config_number < 0) {
      return OutOfRange("stamp.config_number", stamp.config_number);
    }
    AgedStamp aged;
    aged.stamp = Stamp{
        InstanceId{static_cast<uint64_t>(stamp.witness)},
        RegionName(stamp.region), static_cast<uint64_t>(stamp.sequence),
        static_cast<uint64_t>(stamp.config_number), stamp.store_reachable};
    aged.age = std::chrono::milliseconds(stamp.age_ms);
    out.stamps.push_back(std::move(aged));
  }
  for (const wire::Member& member : heartbeat.members) {
    auto parsed = FromWire(member);
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
    out.members.push_back(std::move(*parsed));
  }
  for (const wire::DocumentNumber& document : heartbeat.documents) {
    if (document.number < 0) {
      return OutOfRange("document.number", document.number);
    }
    out.documents.push_back(
        DocumentHead{document.key, static_cast<uint64_t>(document.number)});
  }
  out.members_digest = static_cast<uint64_t>(heartbeat.members_digest);
  return out;
}

}  // namespace celerypost
