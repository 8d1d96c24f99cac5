#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "baobab_base/time_types.h"
#include "stand_ins/key_value_store.h"

namespace baobab::stand_in {

/// An HTTP answer before it is sent.
struct ApiAnswer {
  unsigned status_ = 200;
  std::string body_;
  bool lost_ = false;  ///< The effect took place, but no answer is sent.
  Duration delay_{};   ///< Time to wait before sending.
};

/// Limits of the fake configuration service, in calls per second.
struct StoreLimits {
  double writes_per_second_ = 400;
  double reads_per_second_ = 2000;
  std::size_t value_bytes_ = std::size_t{1} << 20;
};

/// A token bucket that allows `rate` calls per second with a burst of the
/// calls of one second.
class CallBudget {
 public:
  explicit CallBudget(double rate) : rate_(rate), tokens_(rate) {}

  /// Takes one call; returns false if the rate is exceeded.
  auto Take(TimePoint now) -> bool;

 private:
  double rate_;
  double tokens_;
  TimePoint last_{};
};

/// Translates the etcd JSON gateway subset of docs/protocols.md to a
/// KeyValueStore, counts calls and applies limits and faults.
class StoreApi {
 public:
  explicit StoreApi(StoreLimits limits);

  /// Handles one call other than a watch.
  auto Handle(const std::string& path, std::string_view body, TimePoint now)
      -> ApiAnswer;

  /// A watch as asked for by a `create_request`.
  struct Watch {
    std::string key_;
    std::string range_end_;
    Revision next_ = 0;  ///< First revision not yet delivered.
    bool compacted_ = false;
  };

  /// Begins a watch; nothing in an outage or beyond the read limit. Each
  /// pending watch counts as one call.
  auto BeginWatch(std::string_view body, TimePoint now) -> std::optional<Watch>;

  /// Returns the message that confirms a watch.
  [[nodiscard]] auto WatchCreated() const -> std::string;

  /// Returns the next message of `watch` and advances it; an empty string if
  /// nothing happened. Sets compacted_ when the watch must end.
  auto NextWatchMessage(Watch& watch) const -> std::string;

  /// Sets faults: `outage_ms`, `slow_ms` with `slow_for_ms`, `lost_answers`
  /// (number of following writes whose answers are lost).
  auto SetFault(std::string_view body, TimePoint now) -> void;

  /// Returns the number of calls by path as JSON.
  [[nodiscard]] auto Calls() const -> std::string;

  /// Returns true during an outage.
  [[nodiscard]] auto IsOut(TimePoint now) const -> bool {
    return now < outage_until_;
  }

  /// The state behind the gateway.
  [[nodiscard]] auto store() -> KeyValueStore& { return store_; }

 private:
  auto Execute(const std::string& path, std::string_view body, TimePoint now)
      -> ApiAnswer;
  auto Keys(const std::string& path, std::string_view body) -> ApiAnswer;
  auto Transaction(std::string_view body) -> ApiAnswer;
  auto Leases(const std::string& path, std::string_view body, TimePoint now)
      -> ApiAnswer;

  StoreLimits limits_;
  KeyValueStore store_;
  CallBudget writes_;
  CallBudget reads_;
  std::map<std::string, std::uint64_t> calls_;
  TimePoint outage_until_{};
  TimePoint slow_until_{};
  Duration slow_{};
  std::int64_t lost_answers_ = 0;
};

}  // namespace baobab::stand_in
