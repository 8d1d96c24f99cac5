// Runs the exchange of reports and digests of whole fleets under virtual time,
// with lost datagrams and with failures of many instances at once.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_gateway/instance_directory.h"
#include "baobab_gateway/report_intervals.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(20);
constexpr int kZones = 5;
/// Time until all live instances of a starting or disturbed fleet agree: the
/// coordinators may fail twice in succession, and a new one settles.
constexpr Duration kAgreementTime = seconds(8);

class MembershipFleet {
 public:
  MembershipFleet(int size, double loss, std::uint64_t seed)
      : loss_(loss), random_(seed) {
    for (int i = 0; i < size; ++i) {
      auto node = std::make_unique<Node>();
      node->self_.instance_ = "i" + std::to_string(i);
      node->self_.zone_ = "z" + std::to_string(i % kZones);
      node->self_.caller_address_ = node->self_.instance_ + ":80";
      node->self_.cpu_permille_ = i < size / 20 ? 500 : 120;
      node->self_.is_ready_ = true;
      node->next_report_ =
          now_ + Duration(static_cast<Duration::rep>(random_() % 300'000));
      nodes_.push_back(std::move(node));
    }
    for (auto& node : nodes_) {
      RegisterPeers(*node);
    }
  }

  auto Run(Duration time) -> void {
    const auto end = now_ + time;
    for (; now_ < end; now_ += kTick) {
      for (auto& node : nodes_) {
        if (node->alive_ && now_ >= node->next_report_) {
          SendReport(*node);
        }
      }
      max_coordinators_ = std::max(max_coordinators_, CountCoordinators());
    }
  }

  /// Ends the processes of `count` instances: the strongest ones, or a random
  /// selection.
  auto Kill(int count, bool strongest) -> void {
    std::vector<int> order(nodes_.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = static_cast<int>(i);
    }
    if (!strongest) {
      std::shuffle(order.begin(), order.end(), random_);
    }
    for (int i = 0; i < count; ++i) {
      nodes_[static_cast<std::size_t>(order[static_cast<std::size_t>(i)])]
          ->alive_ = false;
    }
  }

  auto RestartDead() -> void {
    for (auto& node : nodes_) {
      if (!node->alive_) {
        node->alive_ = true;
        node->directory_ = InstanceDirectory();
        ++node->incarnation_;
        node->sequence_ = 0;
        node->next_report_ = now_;
        node->digest_sent_at_ = TimePoint{};
        RegisterPeers(*node);
      }
    }
  }

  auto Partition(int count) -> void {
    for (int i = 0; i < count; ++i) {
      nodes_[random_() % nodes_.size()]->cut_ = true;
    }
  }
  auto HealPartition() -> void {
    for (auto& node : nodes_) {
      node->cut_ = false;
    }
  }

  /// Returns the live instances that consider themselves coordinators.
  [[nodiscard]] auto CountCoordinators() const -> int {
    return static_cast<int>(
        std::count_if(nodes_.begin(), nodes_.end(), [](const auto& node) {
          return node->alive_ && !node->cut_ &&
                 node->directory_.IsCoordinator();
        }));
  }

  /// Returns how many directory responses of live instances contain an address
  /// of a dead one, or no address at all.
  [[nodiscard]] auto CountBadResponses() const -> int {
    std::set<std::string> dead;
    for (const auto& node : nodes_) {
      if (!node->alive_) {
        dead.insert(node->self_.caller_address_);
      }
    }
    int bad = 0;
    for (const auto& node : nodes_) {
      if (!node->alive_ || node->cut_) {
        continue;
      }
      const auto addresses = node->directory_.CallerAddresses(
          node->self_.caller_address_, node->self_.zone_, now_);
      bad +=
          addresses.empty() || std::any_of(addresses.begin(), addresses.end(),
                                           [&dead](const auto& address) {
                                             return dead.count(address) > 0;
                                           });
    }
    return bad;
  }

  /// Returns the addresses in the responses of all live instances to callers of
  /// one zone.
  [[nodiscard]] auto ListedAddresses() const -> std::set<std::string> {
    std::set<std::string> listed;
    for (const auto& node : nodes_) {
      if (node->alive_) {
        for (const auto& address : node->directory_.CallerAddresses(
                 node->self_.caller_address_, "z0", now_)) {
          listed.insert(address);
        }
      }
    }
    return listed;
  }

  struct Traffic {
    int sent_ = 0;
    int most_received_ = 0;  // by one instance
    int median_received_ = 0;
  };
  [[nodiscard]] auto TakeTraffic() -> Traffic {
    Traffic traffic;
    std::vector<int> received;
    for (auto& node : nodes_) {
      traffic.sent_ += std::exchange(node->sent_, 0);
      received.push_back(std::exchange(node->received_, 0));
    }
    std::sort(received.begin(), received.end());
    traffic.most_received_ = received.back();
    traffic.median_received_ = received[received.size() / 2];
    return traffic;
  }
  [[nodiscard]] auto TakeMaxCoordinators() -> int {
    return std::exchange(max_coordinators_, 0);
  }

 private:
  struct Node {
    InstanceDirectory::Self self_;
    InstanceDirectory directory_;
    bool alive_ = true;
    bool cut_ = false;
    std::int64_t incarnation_ = 1;
    std::int64_t sequence_ = 0;
    TimePoint next_report_{};
    TimePoint digest_sent_at_{};
    int sent_ = 0;
    int received_ = 0;
  };

  /// All instances are registered in the store, also dead ones.
  auto RegisterPeers(Node& node) -> void {
    for (const auto& peer : nodes_) {
      if (peer.get() != &node) {
        const auto& self = peer->self_;
        node.directory_.Register(
            self.instance_, {self.instance_, self.caller_address_, self.zone_,
                             self.cpu_permille_});
      }
    }
  }

  auto SendReport(Node& node) -> void {
    auto& directory = node.directory_;
    directory.Expire(now_);
    directory.Update(node.self_, now_);
    PeerReport report;
    report.instance_ = node.self_.instance_;
    report.incarnation_ = node.incarnation_;
    report.sequence_ = ++node.sequence_;
    report.address_ = node.self_.instance_;
    report.caller_address_ = node.self_.caller_address_;
    report.zone_ = node.self_.zone_;
    report.cpu_permille_ = node.self_.cpu_permille_;
    report.ready_ = true;
    report.store_connected_ = true;
    const auto recipients = directory.ReportRecipients(now_);
    for (const auto* peer : recipients) {
      Deliver(node, peer->address_, [&](Node& to) {
        (void)to.directory_.RecordReport(report, now_);
      });
    }
    node.next_report_ = now_ + (directory.IsActive(now_)
                                    ? ReportIntervals::Report(recipients.size())
                                    : ReportIntervals::kStandbyReport);
    if (!directory.HasDigests() || !directory.IsCoordinator() ||
        now_ - node.digest_sent_at_ <
            ReportIntervals::Digest(directory.CountIncludingSelf())) {
      return;
    }
    node.digest_sent_at_ = now_;
    auto digest = directory.MakeDigest(report, now_);
    digest.coordinator_.sequence_ = ++node.sequence_;
    std::vector<std::string> addresses;
    for (const auto& [name, peer] : directory.instances()) {
      addresses.push_back(name);
    }
    for (const auto& address : addresses) {
      Deliver(node, address, [&](Node& to) {
        (void)to.directory_.RecordDigest(digest, now_);
      });
    }
  }

  /// Instances are addressed by their names, which end with their index.
  template <class Action>
  auto Deliver(Node& from, const std::string& address, Action action) -> void {
    ++from.sent_;
    std::uniform_real_distribution<double> unit(0, 1);
    auto& to = *nodes_[std::stoul(address.substr(1))];
    if (!to.alive_ || from.cut_ || to.cut_ || unit(random_) < loss_) {
      return;
    }
    ++to.received_;
    action(to);
  }

  double loss_;
  Random random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  TimePoint now_ = TimePoint{} + seconds(100);
  int max_coordinators_ = 0;
};

// Guards against directories that list dead instances, or none, after failures
// of many instances, and against hundreds of instances that act as coordinators
// at once.
TEST_CASE("A fleet agrees on its entry instances after failures", "[gateway]") {
  struct Case {
    const char* what_;
    int size_;
    double loss_;
    double killed_share_;  // of random instances
    int killed_strongest_;
    double cut_share_;
    bool restart_;
  };
  const auto test = GENERATE(values<Case>({
      {"small fleet, two fail", 7, 0.01, 0, 2, 0, false},
      {"no failure", 83, 0.05, 0, 0, 0, false},
      {"half fail", 83, 0.02, 0.5, 0, 0, false},
      {"half restart", 83, 0.02, 0.5, 0, 0, true},
      {"the coordinators fail", 300, 0.01, 0, 3, 0, false},
      {"six successive coordinators fail", 300, 0.01, 0, 6, 0, true},
      {"half fail in a large fleet", 300, 0.01, 0.55, 0, 0, true},
      {"a sixth is partitioned", 360, 0.02, 0, 0, 0.17, false},
  }));
  INFO(test.what_);
  MembershipFleet fleet(test.size_, test.loss_, 1);
  fleet.Run(kAgreementTime);
  CHECK(fleet.CountCoordinators() == 3);
  CHECK(fleet.CountBadResponses() == 0);
  (void)fleet.TakeMaxCoordinators();
  fleet.Kill(static_cast<int>(test.size_ * test.killed_share_), false);
  fleet.Kill(test.killed_strongest_, true);
  fleet.Partition(static_cast<int>(test.size_ * test.cut_share_));
  fleet.Run(kAgreementTime);
  CHECK(fleet.CountBadResponses() == 0);
  CHECK(fleet.CountCoordinators() == 3);
  if (test.restart_) {
    fleet.RestartDead();
  }
  fleet.HealPartition();
  fleet.Run(kAgreementTime);
  CHECK(fleet.CountBadResponses() == 0);
  CHECK(fleet.CountCoordinators() == 3);
  CHECK(fleet.TakeMaxCoordinators() <= 12);
}

// Guards against datagrams that grow with the square of the number of
// instances. With reports from each instance to each other one, an instance of
// a fleet of 295 received 157 per second and 1,240 load updates.
TEST_CASE("Datagrams grow with the number of instances", "[gateway]") {
  struct Case {
    int size_;
    int max_sent_per_instance_;  // per second, on average
    int max_received_;           // per second, by a coordinator
    int max_median_received_;    // per second
  };
  const auto test = GENERATE(values<Case>({
      {7, 60, 60, 60},
      {83, 40, 400, 40},
      {300, 40, 900, 30},
      {360, 40, 1000, 30},
  }));
  INFO(test.size_ << " instances");
  MembershipFleet fleet(test.size_, 0, 1);
  fleet.Run(kAgreementTime);
  (void)fleet.TakeTraffic();
  fleet.Run(seconds(5));
  const auto traffic = fleet.TakeTraffic();
  CHECK(traffic.sent_ / 5 / test.size_ <= test.max_sent_per_instance_);
  CHECK(traffic.most_received_ / 5 <= test.max_received_);
  CHECK(traffic.median_received_ / 5 <= test.max_median_received_);
}

// Guards against callers that all connect to the instances of one zone, and
// against traffic on more instances than its zone needs.
TEST_CASE("Callers are directed to a few instances of their zone",
          "[gateway]") {
  const auto size = GENERATE(83, 300);
  MembershipFleet fleet(size, 0.01, 1);
  fleet.Run(kAgreementTime);
  const auto listed = fleet.ListedAddresses();
  CHECK(listed.size() >= InstanceDirectory::kMinAddresses);
  CHECK(listed.size() <= static_cast<std::size_t>(size / kZones / 2));
}

// Guards against a time-out that does not fit the intervals at some size of the
// fleet: a single lost datagram would then count as a failure.
TEST_CASE("Two intervals of reports or digests fit into the silence timeout",
          "[gateway]") {
  const auto size = GENERATE(std::size_t{7}, std::size_t{83}, std::size_t{295},
                             std::size_t{360}, std::size_t{1000});
  for (const auto interval :
       {ReportIntervals::Report(size), ReportIntervals::Digest(size),
        ReportIntervals::kStandbyReport}) {
    CHECK(2 * interval < InstanceDirectory::kSilenceTimeout);
  }
}

}  // namespace
}  // namespace baobab::gateway
