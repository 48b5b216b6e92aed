#ifndef SRC_PROCESS_STATE_MEMBER_H_
#define SRC_PROCESS_STATE_MEMBER_H_

#include <cstdint>
#include <string>

#include "celerypost/types.h"

namespace celerypost {

enum class MemberState : uint8_t { kLive = 0, kLeaving = 1, kDead = 2 };

// What the fleet knows about one process.
struct Member {
  InstanceId instance;
  Role role = Role::kEntry;
  ZoneName zone;
  RegionName region;
  // Empty for entries.
  ServiceName service;
  // IP:port for celerypost processes.
  std::string address;
  MemberState state = MemberState::kLive;
  // Silent for a while at one of its neighbours and not dead yet. A suspected
  // member keeps its work.
  bool suspected = false;
  // Starts with the Unix time in milliseconds at which the process started and
  // grows with each change that the member makes to its own record, so the
  // newer of two processes at one address has the larger value.
  uint64_t incarnation = 0;
  // IP:port of the HTTP listener.
  std::string http_address;
  // Agents: digest of the weight set that the target serves.
  std::string serving;
  // Agents: the target is past its cold start, or is not held back by it.
  // that its configuration is the newest, so it can be a witness; GossipTask
  // sets it.
  bool warm = false;
  // Agents: number of the roll-out up to which this agent has switched.
  int64_t switched = 0;

  bool operator==(const Member&) const = default;
};

// Only what decides about work and neighbours, so that a suspicion does not
// make peers compare whole tables. Dead members do not count, as processes
// forget them at different times.
uint64_t RecordDigest(const Member& member);

// Whether record `a` of a member replaces record `b`.
bool IsNewer(const Member& a, const Member& b);

// Whether peers should learn of the change without waiting for a heartbeat.
bool IsUrgentChange(const Member& before, const Member& after);

// One line of the platform's membership list. It names VMs, not instances.
struct PlatformMember {
  std::string vm;
  Role role = Role::kEntry;
  std::string peer_address;
  ZoneName zone;
  RegionName region;
  ServiceName service;
  bool leaving = false;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_MEMBER_H_
