#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/coordinator_election.h"
#include "baobab_gateway/entry_selection.h"
#include "baobab_gateway/fleet_digest.h"
#include "baobab_gateway/peer_report.h"

namespace baobab::gateway {

/// What another instance stated in its registration in the store.
struct InstanceRegistration {
  std::string address_;         ///< IP address.
  std::string caller_address_;  ///< Address for callers, "ip:port".
  std::string zone_;            ///< Failure domain.
  /// CPU share in thousandths of a core.
  std::uint32_t cpu_permille_ = 0;
};

/// A time in which the store responded to no other instance.
struct StoreOutage {
  TimePoint from_{};
  TimePoint until_{};
};

/// State of the other instances: those registered in the store and those that
/// have sent reports or are named in digests.
///
/// In a small fleet, all instances send reports to each other and all are entry
/// instances. In a larger one, three coordinators receive the reports of all
/// and send digests, which name the entry instances. Call Update() before the
/// queries that depend on the roles.
///
/// Selects the addresses for directory responses to callers. Handles the loss
/// of several instances at once, rolling restarts and a partition of this
/// instance from its peers: an instance that sends no reports is omitted within
/// about a second, and an instance that receives nothing keeps to what it knew
/// last.
class InstanceDirectory {
 public:
  /// Time without a report after which an instance is not listed: more than
  /// twice the longest interval of reports and digests (see ReportIntervals),
  /// so that one lost datagram does not make an instance look silent.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1300);
  /// Time without a report after which an unregistered instance is removed.
  static constexpr Duration kRemovalTimeout = std::chrono::seconds(20);
  /// Time for which an instance must have been healthy before an order lease
  /// holder with a smaller CPU share releases the lease because of it, and
  /// before it becomes an entry instance.
  static constexpr Duration kMinHealthyTime = std::chrono::seconds(2);
  /// Longest time between the last report of a process and the start of the
  /// next one of its instance for which the store counts as silent to the
  /// instance throughout, if both state so. The former process may have
  /// acquired the order lease in that time, but has sent no order: it would
  /// have waited for the handover interval, which is longer.
  static constexpr Duration kMaxRestartTime = std::chrono::seconds(2);
  /// Maximum number of addresses in a directory response.
  static constexpr std::size_t kMaxAddresses = 64;
  /// Minimum number of addresses in a directory response, if so many exist:
  /// a caller tries another address after a failure. If the caller's zone has
  /// fewer entry instances, those of other zones are added.
  static constexpr std::size_t kMinAddresses = 3;
  /// Largest fleet in which all instances send reports to each other.
  static constexpr std::size_t kMaxMeshInstances = 16;
  /// Time after which a new coordinator has received the reports of all live
  /// instances.
  static constexpr Duration kSettlingTime = std::chrono::milliseconds(1500);
  /// Age up to which a digest is used if no newer one arrives.
  static constexpr Duration kMaxDigestAge = std::chrono::seconds(10);
  /// Time for which a former entry instance sends its load to its peers:
  /// callers may keep its address for three times the time stated, and their
  /// requests take some seconds.
  static constexpr Duration kFormerEntryTime = std::chrono::seconds(15);

  /// Last known state of another instance.
  struct Instance {
    std::string address_;         ///< IP address.
    std::string caller_address_;  ///< Address for callers, "ip:port".
    std::string zone_;            ///< Failure domain.
    std::int64_t incarnation_ = 0;
    /// Incarnation of the previous process of the instance, whose delayed
    /// reports are ignored.
    std::int64_t previous_incarnation_ = 0;
    std::int64_t sequence_ = 0;
    bool registered_ = false;
    bool has_reported_ = false;
    bool ready_ = false;
    bool stopping_ = false;
    bool store_connected_ = true;
    bool lacks_key_evidence_ = false;  ///< See PeerReport.
    bool has_load_ = false;  ///< The last report contained load at targets.
    TimePoint last_received_at_{};
    /// Time of the last report or digest. Load updates state nothing of the
    /// store and of the order lease.
    TimePoint reported_at_{};
    /// Time since which the store has not responded to the instance.
    TimePoint store_silent_since_{};
    /// See PeerReport.
    Duration store_response_at_{};
    TimePoint listed_at_{};  ///< Time of the last digest that names it.
    /// Time of the first Update() at which it was known.
    TimePoint known_since_{};
    /// Fencing token of the last report; 0 unless the instance is the order
    /// lease holder.
    std::int64_t fencing_token_ = 0;
    std::uint32_t cpu_permille_ = 0;
    /// Time since which the instance has been ready and connected to the store.
    TimePoint healthy_since_{};
    // Set by Update():
    bool is_entry_ = false;
    bool is_coordinator_ = false;
  };

  /// State of this instance, as far as its roles depend on it.
  struct Self {
    std::string instance_;
    std::string zone_;
    std::string caller_address_;
    std::uint32_t cpu_permille_ = 0;
    bool is_ready_ = false;
    bool holds_order_lease_ = false;
    bool lacks_key_evidence_ = false;
  };

  /// Records that the store lists `instance`.
  auto Register(const std::string& instance,
                const InstanceRegistration& registration) -> void;
  /// Records that the store no longer lists `instance`.
  auto Unregister(const std::string& instance) -> void;
  /// Records a report. Returns false, without recording it, if a datagram with
  /// the same or a higher sequence number was already received from its process
  /// or if the previous process of the instance sent it.
  [[nodiscard]] auto RecordReport(const PeerReport& report, TimePoint now)
      -> bool;
  /// Records that a load update was received. Returns false, without recording
  /// it, if no report of the instance has been received, if the last report was
  /// sent by a different process of the instance than the update, or if a
  /// datagram with the same or a higher sequence number was already received.
  [[nodiscard]] auto RecordLoadUpdate(const LoadUpdate& update, TimePoint now)
      -> bool;
  /// Records a digest, which may have been relayed by another instance than its
  /// coordinator. Returns false, without recording it, in the cases in which
  /// RecordReport does.
  [[nodiscard]] auto RecordDigest(const FleetDigest& digest, TimePoint now)
      -> bool;
  /// Records that the process was suspended for `time`: the reports and digests
  /// are older by this time.
  auto OnSuspended(Duration time) -> void;
  /// Removes instances that are not registered, have sent nothing and were
  /// named in no digest for kRemovalTimeout.
  auto Expire(TimePoint now) -> void;
  /// Determines the coordinators and the entry instances as of `now`.
  auto Update(const Self& self, TimePoint now) -> void;

  /// Returns true if the fleet is larger than kMaxMeshInstances, so that
  /// coordinators send digests.
  [[nodiscard]] auto HasDigests() const -> bool {
    return CountIncludingSelf() > kMaxMeshInstances;
  }
  /// Returns true if this instance is a coordinator: it reads the store for its
  /// peers and, in a large fleet, sends digests.
  [[nodiscard]] auto IsCoordinator() const -> bool { return is_coordinator_; }
  /// Returns true if another instance is a coordinator and stated recently that
  /// it reaches the store.
  [[nodiscard]] auto CoordinatorReachesStore(TimePoint now) const -> bool {
    return std::any_of(
        instances_.begin(), instances_.end(), [now](const auto& item) {
          return item.second.is_coordinator_ && IsHealthy(item.second, now);
        });
  }
  /// Returns true if callers are directed to this instance.
  [[nodiscard]] auto IsEntry() const -> bool {
    return !HasDigests() || entries_.count(self_.instance_) > 0;
  }
  /// Returns true if this instance exchanges its load with other instances. If
  /// not, it is a standby: it sends reports to the coordinators only.
  [[nodiscard]] auto IsActive(TimePoint now) const -> bool {
    return IsEntry() || is_coordinator_ || self_.holds_order_lease_ ||
           (last_entry_at_ != TimePoint{} &&
            now - last_entry_at_ <= kFormerEntryTime);
  }
  /// Returns true if this instance has received no digest that it could use.
  [[nodiscard]] auto NeedsDigest(TimePoint now) const -> bool {
    return !is_coordinator_ && CurrentDigest(now) == nullptr;
  }
  /// Returns the number of entry instances, at least 1.
  [[nodiscard]] auto CountEntries() const -> std::size_t {
    return HasDigests() ? std::max<std::size_t>(1, entries_.size())
                        : CountIncludingSelf();
  }
  /// Returns the instances that exchange their load with each other and, if
  /// this instance is a standby, only the coordinators and the order lease
  /// holder. This instance itself is not included.
  [[nodiscard]] auto ReportRecipients(TimePoint now) const
      -> std::vector<const Instance*>;
  /// Returns true if `instance` holds the order lease, by its own report or by
  /// the current digest.
  [[nodiscard]] auto IsLeaseHolder(const Instance& instance) const -> bool {
    return instance.fencing_token_ != 0 ||
           (!digest_holder_.empty() && instance.address_ == digest_holder_);
  }
  /// Returns the digest of this coordinator. `header` is its report. The caller
  /// adds the leaving targets.
  [[nodiscard]] auto MakeDigest(const PeerReport& header, TimePoint now) const
      -> FleetDigest;
  /// Returns the digest that this instance uses, to be relayed to a starting
  /// instance; nullptr if there is none that is recent enough.
  [[nodiscard]] auto CurrentDigest(TimePoint now) const -> const FleetDigest*;

  /// Returns the addresses for callers in `zone`, "ip:port", at most
  /// kMaxAddresses. `own` is the address of this instance, or empty if it does
  /// not accept requests.
  [[nodiscard]] auto CallerAddresses(const std::string& own,
                                     const std::string& zone,
                                     TimePoint now) const
      -> std::vector<std::string>;
  /// Returns true if another instance has a CPU share larger than
  /// `cpu_permille` (thousandths of a core) and has been healthy for at least
  /// kMinHealthyTime.
  [[nodiscard]] auto HasStrongerPeer(std::uint32_t cpu_permille,
                                     TimePoint now) const -> bool;
  /// Checks whether, by their reports, no other instance reaches the store.
  ///
  /// Requires a report within kSilenceTimeout from every other known
  /// instance. The last report of each must state that the instance does not
  /// reach the store and does not hold the order lease (the right to send load
  /// and unload orders to engines). Returns the time in which the store has
  /// responded to none of them, up to the earliest of their last reports.
  /// Returns nullopt if any instance does not meet these conditions or if no
  /// other instance is known.
  [[nodiscard]] auto FindStoreOutage(TimePoint now) const
      -> std::optional<StoreOutage>;
  /// Returns the number of known instances, including this one. Instances that
  /// have failed count until Expire removes them.
  [[nodiscard]] auto CountIncludingSelf() const -> std::size_t {
    return instances_.size() + 1;
  }
  [[nodiscard]] auto instances() const
      -> const std::map<std::string, Instance>& {
    return instances_;
  }
  /// Returns the names of the entry instances; empty in a small fleet, in which
  /// all are entry instances.
  [[nodiscard]] auto entries() const -> const std::set<std::string>& {
    return entries_;
  }

 private:
  struct ReceivedDigest {
    FleetDigest digest_;
    TimePoint received_at_{};
  };

  /// Returns true if a datagram of `instance` arrived within kSilenceTimeout.
  [[nodiscard]] static auto HasRecentReport(const Instance& instance,
                                            TimePoint now) -> bool {
    return instance.has_reported_ &&
           now - instance.last_received_at_ <= kSilenceTimeout;
  }
  /// Returns when `instance` last gave a sign of life: its last datagram, or,
  /// if it has sent none, when it became known.
  [[nodiscard]] static auto LastSignAt(const Instance& instance) -> TimePoint {
    return instance.has_reported_ ? instance.last_received_at_
                                  : instance.known_since_;
  }
  /// Returns true if `instance` accepts requests and reaches the store.
  [[nodiscard]] static auto IsHealthy(const Instance& instance, TimePoint now)
      -> bool {
    return HasRecentReport(instance, now) && instance.ready_ &&
           !instance.stopping_ && instance.store_connected_;
  }
  /// Returns true if a live instance has evidence on its keys, so that callers
  /// need not be directed to those that have none. If none has, the evidence
  /// says nothing about which instance to prefer.
  [[nodiscard]] auto HasKeyEvidence(TimePoint now) const -> bool;
  [[nodiscard]] auto IsSettled(TimePoint now) const -> bool {
    return is_coordinator_ && now - coordinator_since_ >= kSettlingTime;
  }
  /// Returns since when the store has not responded to the sender of `report`.
  /// `known` is the state of the instance before it.
  [[nodiscard]] static auto StoreSilentSince(const PeerReport& report,
                                             const Instance& known,
                                             TimePoint now) -> TimePoint;
  auto UpdateCoordinators(TimePoint now) -> void;
  auto UpdateEntries(TimePoint now) -> void;
  /// Selects the entry instances from the reports of all instances. With
  /// `assume_alive`, registered instances without a report count as available.
  [[nodiscard]] auto SelectFromReports(bool assume_alive, TimePoint now) const
      -> std::set<std::string>;
  /// Returns true if fewer than half of the registered instances have sent a
  /// datagram recently: this instance is probably partitioned from the others.
  [[nodiscard]] auto IsPartitioned(TimePoint now) const -> bool;
  /// Returns the time such that an instance whose last sign of life is older
  /// counts as ended although this instance is partitioned now: it was silent
  /// before.
  [[nodiscard]] auto AliveBeforePartitionSince(TimePoint now) const
      -> TimePoint;
  /// Returns the addresses if all instances are entry instances.
  [[nodiscard]] auto MeshAddresses(const std::string& own, TimePoint now) const
      -> std::vector<std::string>;
  [[nodiscard]] auto FindCurrentDigest(TimePoint now) const
      -> const ReceivedDigest*;

  std::map<std::string, Instance> instances_;
  std::map<std::string, ReceivedDigest> digests_;  // by coordinator
  CoordinatorElection election_;
  Self self_;
  std::set<std::string> entries_;
  std::string digest_holder_;  // address of the order lease holder
  bool is_coordinator_ = false;
  TimePoint coordinator_since_{};
  /// AliveBeforePartitionSince() at the beginning of the present partition.
  std::optional<TimePoint> alive_before_partition_since_;
  TimePoint last_entry_at_{};
};

}  // namespace baobab::gateway
