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

/// The other instances: those registered in the store and those heard from.
///
/// Decides which addresses callers get. Answers the loss of several instances
/// at once, rolling restarts and a partition of this instance from its peers:
/// an instance that is silent leaves the answers within about a second, but an
/// instance that hears fewer than half of its peers takes itself for the one
/// that is cut off and lists all that are registered.
class InstanceDirectory {
 public:
  /// Silence after which an instance is not listed: three reports of an
  /// instance under load and the time that one may be delayed.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1300);
  /// Silence after which an unregistered instance is forgotten.
  static constexpr Duration kForgetTimeout = std::chrono::seconds(20);
  /// Time for which an instance must be fit before a duty is left to it.
  static constexpr Duration kMinHealthyTime = std::chrono::seconds(2);
  /// Instances that read every change of the store at once. Three of them
  /// survive the loss of two before the silence of these is noticed.
  static constexpr std::size_t kWatchingInstanceCount = 3;
  /// Largest number of addresses in an answer.
  static constexpr std::size_t kMaxAddresses = 64;

  /// An instance as known here.
  struct Instance {
    std::string address_;         ///< IP address.
    std::string caller_address_;  ///< Address for callers, "ip:port".
    std::int64_t incarnation_ = 0;
    /// Of the process before: its late reports are ignored.
    std::int64_t previous_incarnation_ = 0;
    std::int64_t sequence_ = 0;
    bool registered_ = false;
    bool has_reported_ = false;
    bool ready_ = false;
    bool stopping_ = false;
    bool store_connected_ = true;
    TimePoint last_heard_at_{};
    /// Fencing token of the last report, if the instance gives orders.
    std::int64_t fencing_token_ = 0;
    std::uint32_t processor_permille_ = 0;
    TimePoint
        healthy_since_{};  ///< Ready and connected to the store since then.
  };

  /// Records that the store lists `instance`.
  auto Register(const std::string& instance, const std::string& address,
                const std::string& caller_address) -> void;
  /// Records that the store no longer lists `instance`.
  auto Unregister(const std::string& instance) -> void;
  /// Records a report. Returns false if it is older than one already taken.
  [[nodiscard]] auto RecordReport(const PeerReport& report, TimePoint now)
      -> bool;
  /// Records an update of work. Returns false if it is older than what was
  /// taken from the instance, or from a process that has not reported yet.
  [[nodiscard]] auto RecordLoadUpdate(const WorkUpdate& update, TimePoint now)
      -> bool;
  /// Forgets instances that are neither registered nor heard.
  auto Expire(TimePoint now) -> void;

  /// Returns the addresses for callers, `own` first if it is not empty.
  [[nodiscard]] auto CallerAddresses(const std::string& own,
                                     TimePoint now) const
      -> std::vector<std::string>;
  /// Returns true if `own` is one of the instances that read the store for all:
  /// the ones with the most processor.
  [[nodiscard]] auto IsWatchingInstance(const std::string& own,
                                        std::uint32_t processor_permille,
                                        TimePoint now) const -> bool;
  /// Returns true if an instance with more processor than `processor_permille`
  /// has been fit for duties for a while, and is heard.
  [[nodiscard]] auto HasStrongerPeer(std::uint32_t processor_permille,
                                     TimePoint now) const -> bool;
  /// Returns the time of the oldest last report if every known instance has
  /// reported that it neither reaches the store nor gives orders, and lately
  /// enough; nothing otherwise, or if no other instance is known.
  [[nodiscard]] auto StoreUnreachableForAllSince(TimePoint now) const
      -> std::optional<TimePoint>;
  /// Returns the number of instances that are alive or may be, with this one.
  [[nodiscard]] auto CountIncludingSelf() const -> std::size_t {
    return instances_.size() + 1;
  }
  [[nodiscard]] auto instances() const
      -> const std::map<std::string, Instance>& {
    return instances_;
  }

 private:
  /// Returns true if a report of `instance` is recent.
  [[nodiscard]] static auto HasRecentReport(const Instance& instance,
                                            TimePoint now) -> bool {
    return instance.has_reported_ &&
           now - instance.last_heard_at_ <= kSilenceTimeout;
  }
  /// Returns true if `instance` serves and reaches the store.
  [[nodiscard]] static auto IsHealthy(const Instance& instance, TimePoint now)
      -> bool {
    return HasRecentReport(instance, now) && instance.ready_ &&
           !instance.stopping_ && instance.store_connected_;
  }

  std::map<std::string, Instance> instances_;
};

}  // namespace baobab::gateway
