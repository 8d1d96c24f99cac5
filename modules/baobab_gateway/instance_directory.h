#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/peer_report.h"

namespace baobab::gateway {

/// State of the other instances: those registered in the store and those that
/// have sent reports.
///
/// Selects the addresses for directory responses to callers, and the watching
/// instances, which read the store for their peers. Handles the loss of several
/// instances at once, rolling restarts and a partition of this instance from
/// its peers: an instance that sends no reports is omitted within about a
/// second. If fewer than half of the registered instances have sent a recent
/// report, this instance assumes that it is partitioned itself and lists all
/// registered instances.
class InstanceDirectory {
 public:
  /// Time without a report after which an instance is not listed: three report
  /// intervals of an instance under load plus the delay of one report.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1300);
  /// Time without a report after which an unregistered instance is removed.
  static constexpr Duration kRemovalTimeout = std::chrono::seconds(20);
  /// Time for which an instance must have been healthy before an order lease
  /// holder with a smaller CPU share releases the lease because of it.
  static constexpr Duration kMinHealthyTime = std::chrono::seconds(2);
  /// Number of instances that read the store for their peers. With three, one
  /// still reads the store if two fail at once, even before their failure is
  /// detected.
  static constexpr std::size_t kWatchingInstanceCount = 3;
  /// Maximum number of addresses in a directory response.
  static constexpr std::size_t kMaxAddresses = 64;

  /// Last known state of another instance.
  struct Instance {
    std::string address_;         ///< IP address.
    std::string caller_address_;  ///< Address for callers, "ip:port".
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
    TimePoint last_received_at_{};
    /// Fencing token of the last report; 0 unless the instance is the order
    /// lease holder.
    std::int64_t fencing_token_ = 0;
    std::uint32_t cpu_permille_ = 0;
    /// Time since which the instance has been ready and connected to the store.
    TimePoint healthy_since_{};
  };

  /// Records that the store lists `instance`.
  auto Register(const std::string& instance, const std::string& address,
                const std::string& caller_address) -> void;
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
  /// Removes instances that are not registered and have sent nothing for
  /// kRemovalTimeout.
  auto Expire(TimePoint now) -> void;

  /// Returns the addresses for callers, "ip:port": first `own`, unless it is
  /// empty, then those of the instances that accept requests. Returns at most
  /// kMaxAddresses.
  [[nodiscard]] auto CallerAddresses(const std::string& own,
                                     TimePoint now) const
      -> std::vector<std::string>;
  /// Returns true if this instance, named `own`, must read the store for its
  /// peers, that is, if it is among the kWatchingInstanceCount healthy
  /// instances with the largest CPU shares. A hash of the name decides between
  /// equal shares. `cpu_permille` is the CPU share of this instance in
  /// thousandths of a core.
  [[nodiscard]] auto IsWatchingInstance(const std::string& own,
                                        std::uint32_t cpu_permille,
                                        TimePoint now) const -> bool;
  /// Returns true if another instance has a CPU share larger than
  /// `cpu_permille` (thousandths of a core) and has been healthy for at least
  /// kMinHealthyTime.
  [[nodiscard]] auto HasStrongerPeer(std::uint32_t cpu_permille,
                                     TimePoint now) const -> bool;
  /// Checks whether, by their reports, no other instance reaches the store.
  ///
  /// Requires a datagram within kSilenceTimeout from every other known
  /// instance. The last report of each must state that the instance does not
  /// reach the store and does not hold the order lease (the right to send load
  /// and unload orders to engines). Takes the time at which the last datagram
  /// of each instance was received and returns the earliest of these times.
  /// Returns nullopt if any instance does not meet these conditions or if no
  /// other instance is known.
  [[nodiscard]] auto StoreUnreachableForAllSince(TimePoint now) const
      -> std::optional<TimePoint>;
  /// Returns the number of known instances, including this one. Instances that
  /// have failed count until Expire removes them.
  [[nodiscard]] auto CountIncludingSelf() const -> std::size_t {
    return instances_.size() + 1;
  }
  [[nodiscard]] auto instances() const
      -> const std::map<std::string, Instance>& {
    return instances_;
  }

 private:
  /// Returns true if a datagram of `instance` arrived within kSilenceTimeout.
  [[nodiscard]] static auto HasRecentReport(const Instance& instance,
                                            TimePoint now) -> bool {
    return instance.has_reported_ &&
           now - instance.last_received_at_ <= kSilenceTimeout;
  }
  /// Returns true if `instance` accepts requests and reaches the store.
  [[nodiscard]] static auto IsHealthy(const Instance& instance, TimePoint now)
      -> bool {
    return HasRecentReport(instance, now) && instance.ready_ &&
           !instance.stopping_ && instance.store_connected_;
  }

  std::map<std::string, Instance> instances_;
};

}  // namespace baobab::gateway
