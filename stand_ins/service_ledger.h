#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "baobab_base/time_types.h"

namespace baobab::stand_in {

/// What the plain service fake does with one call.
struct ServiceAnswer {
  unsigned status_ = 200;
  std::string body_;
  bool lost_ = false;  ///< The operation ran, but no answer is sent.
  Duration delay_{};
};

/// A plain service that is not idempotent: it runs each call, and records the
/// runs of each operation by its idempotency key.
class ServiceLedger {
 public:
  /// Answers come `delay` after the call.
  explicit ServiceLedger(Duration delay) : delay_(delay) {}

  /// Runs the operation `key` (may be empty) at `path` with `body`.
  auto Run(const std::string& key, const std::string& path,
           std::string_view body, TimePoint now) -> ServiceAnswer;

  /// Sets faults: `lost_answers`, `rejections` (numbers of following calls),
  /// `slow_ms` with `slow_for_ms`.
  auto SetFault(std::string_view body, TimePoint now) -> void;

  /// Returns the runs as JSON: `runs` by key, `repeated` (keys that ran more
  /// than once), `without_key`.
  [[nodiscard]] auto Runs() const -> std::string;

 private:
  Duration delay_;
  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t without_key_ = 0;
  std::int64_t lost_answers_ = 0;
  std::int64_t rejections_ = 0;
  TimePoint slow_until_{};
  Duration slow_{};
};

}  // namespace baobab::stand_in
