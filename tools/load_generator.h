#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/clock.h"
#include "baobab_base/metrics_registry.h"
#include "baobab_base/random_source.h"
#include "baobab_base/work_kind.h"
#include "baobab_targets/connection_pool.h"
#include "baobab_targets/target_exchange.h"
#include "baobab_targets/whole_exchange.h"
#include "load_answers.h"

namespace baobab::load {

/// What the load consists of.
struct LoadSettings {
  std::vector<TargetEndpoint> daemons_;  ///< Asked for the entry addresses.
  std::string key_;                      ///< Caller key of the customer.
  double rate_ = 100;                    ///< Requests per second.
  Duration duration_ = std::chrono::seconds(10);
  /// Share of each WorkKind; they need not add up to 1.
  std::array<double, kWorkKinds> mix_ = {0.5, 0.1, 0.1, 0.3};
  std::vector<std::string> models_;
  std::string booking_service_ = "slots";
  std::string lookup_service_ = "board";
  std::uint64_t seed_ = 1;
};

/// Results of one kind of work. Latencies count from the planned arrival, so
/// that a slow system does not thin out its own load.
struct KindResult {
  std::uint64_t sent_ = 0;
  std::array<std::uint64_t, 4> verdicts_{};  ///< By Verdict.
  LatencyHistogram latency_;                 ///< Whole answers only.
  LatencyHistogram first_token_;             ///< Completions only.
};

/// Sends an open-loop load with Poisson arrivals and checks every answer.
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& context, LoadSettings settings);

  /// Looks up the entry addresses and sends the load; the io_context runs out
  /// of work after the last answer.
  auto Start() -> void;

  /// Results by WorkKind.
  [[nodiscard]] auto results() const
      -> const std::array<KindResult, kWorkKinds>& {
    return results_;
  }

  /// Number of requests sent to each daemon.
  [[nodiscard]] auto shares() const
      -> const std::map<TargetEndpoint, std::uint64_t>& {
    return shares_;
  }

 private:
  struct Request {
    WorkKind kind_ = WorkKind::kShort;
    TimePoint planned_{};
    std::uint64_t number_ = 0;
    TargetEndpoint daemon_;
  };

  auto LookUpEntry() -> void;
  auto OnEntry(const TargetResponse& response) -> void;
  auto ScheduleNext() -> void;
  auto SendNow() -> void;
  auto DrawKind() -> WorkKind;
  auto SendChat(const Request& request) -> void;
  auto SendBooking(const Request& request) -> void;
  auto Book(const Request& request, const std::string& key) -> void;
  auto SendLookup(const Request& request) -> void;
  [[nodiscard]] auto Prompt(const Request& request) const -> std::string;
  [[nodiscard]] auto Message(const Request& request, std::string method,
                             std::string path, std::string body) const
      -> TargetRequest;
  auto Finish(const Request& request, Verdict verdict) -> void;
  auto Fail(const Request& request, const AttemptFailure& failure) -> void;

  LoadSettings settings_;
  SystemClock clock_;
  Random random_;
  std::shared_ptr<ConnectionPool> pool_;
  std::vector<TargetEndpoint> entry_;
  boost::asio::steady_timer arrival_timer_;
  boost::asio::steady_timer entry_timer_;
  TimePoint next_arrival_{};
  TimePoint end_{};
  std::uint64_t next_number_ = 0;
  std::array<KindResult, kWorkKinds> results_;
  std::map<TargetEndpoint, std::uint64_t> shares_;
};

}  // namespace baobab::load
