#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_membership/member.h"

namespace baobab::membership {

/// A member as this instance sees it.
struct Member {
  Heartbeat last_;
  Liveness liveness_ = Liveness::kAlive;
  TimePoint heard_;  ///< Last direct or relayed sign of life.
  auto info() const -> const MemberInfo& { return last_.info_; }
};

/// Members of one failure domain as relayed to other domains. Carries only
/// what changed, and a hash of everything, by which the receiver sees whether
/// it lacks anything.
struct DomainSummary {
  FailureDomain domain_;
  std::uint64_t hash_ = 0;  ///< DomainHash of the sender for domain_.
  bool full_ = false;       ///< members_ holds all members.
  struct View {
    MemberInfo info_;
    std::uint64_t sequence_ = 0;
    Liveness liveness_ = Liveness::kAlive;
    double load_ = 0;
  };
  std::vector<View> members_;
};

/// Intervals of heartbeats and failure detection.
struct MembershipSettings {
  Duration heartbeat_interval_ = std::chrono::seconds(1);
  int suspect_intervals_ = 3;  ///< Silent intervals until suspect.
  int dead_intervals_ = 2;     ///< Further intervals until dead.
  /// Intervals added for members heard through relays: one for each hop.
  int relay_intervals_ = 2;
  /// Gone members are kept this long, so that late messages do not revive
  /// them.
  Duration forget_after_ = std::chrono::minutes(10);
};

/// The members that this instance knows and whether they are alive. A hint:
/// nothing that needs agreement may depend on it.
class MembershipTable {
 public:
  MembershipTable(MemberInfo self, MembershipSettings settings);

  /// Takes a heartbeat. Returns false if it is older than one already taken,
  /// of an earlier incarnation, or of this process.
  auto OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) -> bool;

  /// Takes a member's announcement that it has left.
  auto OnLeave(const ProcessId& process, TimePoint now) -> void;

  /// Takes a relayed summary. One of the own domain only introduces members
  /// that are not known yet. Returns false if this instance still lacks
  /// something afterwards and needs a full one.
  auto OnSummary(const DomainSummary& summary, TimePoint now) -> bool;

  /// Marks silent members suspect or dead. Returns those that changed.
  auto Tick(TimePoint now) -> std::vector<Member>;

  /// Sets what this instance says about itself.
  auto SetSelf(const MemberInfo& self) -> void { self_ = self; }

  /// What this instance says about itself.
  [[nodiscard]] auto self() const -> const MemberInfo& { return self_; }

  /// Other members that are neither dead nor left.
  [[nodiscard]] auto LiveMembers() const -> std::vector<const Member*>;

  /// Returns the member of `instance`, or null.
  [[nodiscard]] auto Find(const InstanceId& instance) const -> const Member*;

  /// Hash of the processes, states and epochs of the live members of
  /// `domain`.
  [[nodiscard]] auto DomainHash(const FailureDomain& domain) const
      -> std::uint64_t;

  /// Hash of all members outside this instance's domain.
  [[nodiscard]] auto RemoteHash() const -> std::uint64_t;

  /// Takes the RemoteHash of a relay of the own domain. If it is the same
  /// here, all live members of other domains count as heard; returns whether
  /// it is.
  auto OnRemoteHash(std::uint64_t hash, TimePoint now) -> bool;

  /// Other failure domains with known members.
  [[nodiscard]] auto OtherDomains() const -> std::vector<FailureDomain>;

  /// Summary of `domain` with the members that changed after `since`, or with
  /// all if unset.
  [[nodiscard]] auto Summarize(const FailureDomain& domain,
                               std::optional<TimePoint> since) const
      -> DomainSummary;

 private:
  struct Entry {
    Member member_;
    TimePoint changed_;
    bool relayed_ = false;
    std::uint64_t hash_ = 0;  ///< Of what DomainHash covers.
  };

  auto Merge(const Heartbeat& heartbeat, Liveness liveness, bool relayed,
             TimePoint now) -> bool;
  [[nodiscard]] auto IsKnown(const MemberInfo& info) const -> bool;
  auto MergeGone(const DomainSummary::View& view, TimePoint now) -> void;
  [[nodiscard]] auto Judge(const Entry& entry, TimePoint now) const -> Liveness;

  MemberInfo self_;
  MembershipSettings settings_;
  std::map<InstanceId, Entry> members_;
};

/// Returns when to send the next heartbeat after one at `now`: after 75% to
/// 100% of `interval` (RFC 5880 section 6.8.7), which keeps members that
/// started together from sending together.
template <RandomSource Generator>
[[nodiscard]] auto NextHeartbeat(TimePoint now, Duration interval,
                                 Generator& random) -> TimePoint {
  return now + Duration(std::uniform_int_distribution<Duration::rep>(
                   interval.count() * 3 / 4, interval.count())(random));
}

}  // namespace baobab::membership
