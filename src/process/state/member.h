#ifndef SRC_PROCESS_STATE_MEMBER_H_
#define SRC_PROCESS_STATE_MEMBER_H_

#include <cstdint>
#include <string>

#include "celerypost/types.h"

namespace celerypost {

enum class MemberState : uint8_t { kLive = 0, kLeaving = 1, kDead = 2 };

// The record of one process in the member table.
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
  // Not heard for a while by one of its neighbours and not dead yet. A
  // suspected member keeps its work.
  bool suspected = false;
  // Starts as the Unix time in milliseconds at which the process started and
  // grows with each change that the member makes to its own record, so the
  // newer of two processes at one address has the larger value.
  uint64_t incarnation = 0;
  // IP:port of the HTTP listener.
  std::string http_address;
  // Agents: digest of the weight set that the target serves.
  std::string serving;
  // Agents: the target is past its cold start, or is not held back by it.
  // Entries: the process has known that its configuration is the newest, so it
  // can be a witness; GossipTask sets it.
  bool warm = false;
  // Agents: number of the newest roll-out to which this agent has finished
  // switching.
  int64_t switched = 0;

  bool operator==(const Member&) const = default;
};

// Returns a digest of the fields that decide about work and neighbours. A
// suspicion does not change it, so that peers don't exchange whole tables for
// one. It is 0 for dead members, as processes forget them at different times.
uint64_t RecordDigest(const Member& member);

// Returns whether record `a` of a member replaces record `b`.
bool IsNewer(const Member& a, const Member& b);

// Returns whether peers should learn of the change without waiting for the next
// heartbeat.
bool IsUrgentChange(const Member& before, const Member& after);

// One entry of the platform's membership list. The list holds VMs, not process
// instances.
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
