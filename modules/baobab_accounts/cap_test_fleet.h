#pragma once

#include <cstdint>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "baobab_accounts/account_cap_broker.h"
#include "baobab_accounts/account_cap_limiter.h"
#include "baobab_base/random_source.h"

namespace baobab::accounts {

/// Instances with limiters and brokers, a network that loses, delays and
/// repeats messages, and a record of what was admitted. For tests.
///
/// Times are true times; each instance has a clock of its own.
class CapTestFleet {
 public:
  struct Settings {
    std::size_t instances_ = 8;
    CapBounds bounds_{std::chrono::seconds(8), 0.1, 110'000};
    double loss_ = 0;
    double repetition_ = 0;
    double late_ = 0;   ///< Share of messages that take up to 4 s.
    double drift_ = 0;  ///< Largest relative error of a clock.
    std::uint64_t seed_ = 1;
  };

  /// A request that was admitted.
  struct Admission {
    TimePoint at_{};
    double units_ = 0;
    std::size_t instance_ = 0;
  };

  /// How a request ended. Refusals are final.
  struct Counts {
    std::size_t admitted_ = 0;
    std::size_t refused_ = 0;
    double refused_units_ = 0;
    double admitted_units_ = 0;
  };

  explicit CapTestFleet(const Settings& settings);

  /// Sets the cap of the only account at `instance`.
  auto SetCap(std::size_t instance, const AccountCap& cap) -> void;
  auto SetCapEverywhere(const AccountCap& cap) -> void;

  /// Starts a term of the broker at `instance`. An earlier one must have ended.
  auto BeginTerm(std::size_t instance) -> void;
  /// Ends the present term: its broker answers no more.
  auto EndTerm() -> void;
  /// Sets the instance that `instance` sends its demands to.
  auto Follow(std::size_t instance, std::size_t broker) -> void {
    hosts_[instance].broker_ = broker;
  }
  [[nodiscard]] auto broker() const -> std::size_t { return broker_; }

  /// Replaces the process of `instance`; its waiting requests are lost.
  auto Restart(std::size_t instance) -> void;
  /// Stops the process of `instance` until `until`; messages wait for it.
  auto Freeze(std::size_t instance, TimePoint until) -> void {
    hosts_[instance].frozen_until_ = until;
  }
  /// Loses all messages from and to `instance` until `until`.
  auto Cut(std::size_t instance, TimePoint until) -> void {
    hosts_[instance].cut_until_ = until;
  }

  /// A request arrives at `instance`. With `runs` false, no target runs it, and
  /// its units are given back up to 3 s later.
  auto Request(std::size_t instance, double units, bool runs = true) -> void;
  /// Advances the time.
  auto Advance(Duration time) -> void;

  /// Returns the sum of the shares that all instances may use now, also those
  /// that are cut off or frozen.
  [[nodiscard]] auto HeldShares() const -> CapShare;

  [[nodiscard]] auto now() const -> TimePoint { return now_; }
  [[nodiscard]] auto admissions() const -> const std::vector<Admission>& {
    return admissions_;
  }
  [[nodiscard]] auto TakeCounts() -> Counts {
    return std::exchange(counts_, {});
  }
  [[nodiscard]] auto messages() const -> std::size_t { return messages_; }

 private:
  using Message = std::variant<CapDemand, CapGrants>;
  struct Host {
    std::unique_ptr<AccountCapLimiter> limiter_;
    AccountCapLimiter::Accounts accounts_;
    std::int64_t incarnation_ = 1;
    double clock_rate_ = 1;
    Duration clock_offset_{};
    std::size_t broker_ = 0;
    TimePoint frozen_until_{};
    TimePoint cut_until_{};
    std::unique_ptr<AccountCapBroker> role_;
  };
  struct Delivery {
    TimePoint at_{};
    std::uint64_t order_ = 0;
    std::size_t to_ = 0;
    std::size_t from_ = 0;
    Message message_;
    auto operator<(const Delivery& other) const -> bool {
      return std::tie(other.at_, other.order_) < std::tie(at_, order_);
    }
  };
  struct Waiting {
    std::size_t instance_ = 0;
    double units_ = 0;
    bool runs_ = true;
    TimePoint until_{};
    std::int64_t incarnation_ = 0;
  };
  struct Unran {
    TimePoint taken_at_{};  // on the clock of the instance
    TimePoint returned_at_{};
    std::size_t instance_ = 0;
    double units_ = 0;
    std::int64_t incarnation_ = 0;
  };

  [[nodiscard]] auto Draw() -> double { return draw_(random_); }
  [[nodiscard]] auto ClockOf(const Host& host) const -> TimePoint;
  [[nodiscard]] auto MakeLimiter(const Host& host, std::size_t instance) const
      -> std::unique_ptr<AccountCapLimiter>;
  auto Send(std::size_t from, std::size_t to, const Message& message) -> void;
  auto Deliver(const Delivery& delivery) -> void;
  auto SendDemand(std::size_t instance) -> void;
  /// Decides on a request; returns false if it has to wait.
  auto Decide(const Waiting& request, CapAttempt attempt) -> bool;
  auto DecideWaiting(std::size_t instance) -> void;

  Settings settings_;
  Random random_;
  std::uniform_real_distribution<double> draw_{0, 1};
  std::vector<Host> hosts_;
  std::vector<std::string> names_;  // of the instances
  std::set<std::size_t> active_;    // instances that requests have reached
  std::set<std::size_t> stating_;   // have not answered the present broker
  std::priority_queue<Delivery> deliveries_;
  std::vector<Waiting> waiting_;
  std::vector<Unran> unran_;
  std::vector<Admission> admissions_;
  Counts counts_;
  TimePoint now_ = TimePoint{} + std::chrono::seconds(1000);
  TimePoint refreshed_at_{};
  std::size_t broker_ = 0;
  std::int64_t last_term_ = 0;
  std::uint64_t order_ = 0;
  std::size_t messages_ = 0;
};

/// Returns the highest sum of units in any window of `window` that begins at
/// `from` or later.
[[nodiscard]] auto HighestUse(
    const std::vector<CapTestFleet::Admission>& admissions, Duration window,
    TimePoint from) -> double;

}  // namespace baobab::accounts
