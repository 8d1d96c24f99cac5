#include "baobab_peers/peer_test_fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "baobab_peers/peer_codec.h"

namespace baobab::peers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTickInterval = milliseconds(50);
// A confirmation must be younger than ContractRegister::kFreshness everywhere,
// relay hops included; 10 s between reads would make all instances stale.
constexpr Duration kReadInterval = seconds(2);

}  // namespace

PeerTestFleet::PeerTestFleet(std::uint64_t seed, PeerFleetShape shape,
                             LinkFaults faults)
    : shape_(shape), network_(seed, faults), processes_(shape.instances_) {
  counts_.sent_bytes_.resize(shape.instances_);
}

auto PeerTestFleet::MakeInfo(std::size_t instance) -> membership::MemberInfo {
  const auto domain = instance % shape_.domains_;
  return {
      {InstanceId("entry-" + std::to_string(instance)), next_incarnation_++},
      std::to_string(instance),
      "10.0.0." + std::to_string(instance) + ":8080",
      FailureDomain("domain-" + std::to_string(domain)),
      Region("region-" + std::to_string(domain % shape_.regions_)),
      membership::MemberState::kReady,
      1};
}

// The own failure domain and one instance of each other domain.
auto PeerTestFleet::SeedsOf(std::size_t instance) const
    -> std::vector<std::string> {
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < shape_.instances_; ++i) {
    if (i < shape_.domains_ ||
        i % shape_.domains_ == instance % shape_.domains_) {
      seeds.push_back(std::to_string(i));
    }
  }
  return seeds;
}

auto PeerTestFleet::Start(std::size_t instance) -> void {
  const auto process = std::make_shared<Process>();
  PeerNodeSettings settings;
  settings.seeds_ = SeedsOf(instance);
  settings.jitter_ = shape_.jitter_;
  process->table_ = std::make_unique<membership::MembershipTable>(
      MakeInfo(instance), settings.membership_);
  process->node_ = std::make_unique<PeerNode>(
      process->table_.get(), &process->contracts_, &process->gossip_,
      &network_.random(), settings);
  processes_[instance] = process;
  Tick(instance, process);
  Schedule(instance, process);
}

auto PeerTestFleet::StartAll() -> void {
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    const auto spread = static_cast<std::uint64_t>(
        std::max<Duration::rep>(1, shape_.start_spread_.count()));
    network_.After(Duration(network_.random()() % spread),
                   [this, i](TimePoint) { Start(i); });
  }
}

auto PeerTestFleet::Schedule(std::size_t instance,
                             const std::weak_ptr<Process>& process) -> void {
  network_.OnNode(instance, kTickInterval, [=, this](TimePoint) {
    if (const auto running = process.lock()) {
      Tick(instance, running);
      Schedule(instance, process);
    }
  });
}

auto PeerTestFleet::IsReader(const Process& process) const -> bool {
  return shape_.all_read_ ||
         membership::PeerTopology::IsReader(process.node_->table());
}

auto PeerTestFleet::Tick(std::size_t instance, const ProcessPtr& process)
    -> void {
  const auto now = network_.now();
  Deliver(instance, process->node_->Tick(now));
  if (process->next_read_ && now < *process->next_read_) {
    return;
  }
  process->next_read_ = now + kReadInterval;
  // A starting process reads the store itself until it is complete.
  if (!process->contracts_.complete() || IsReader(*process)) {
    ReadStore(instance, process);
  }
}

auto PeerTestFleet::ReadStore(std::size_t instance, const ProcessPtr& process)
    -> void {
  ++counts_.store_reads_;
  if (InOutage()) {
    return;
  }
  std::vector<contract::ContractRecord> records;
  for (const auto& [customer, record] : records_) {
    records.push_back(record);
  }
  const auto sent = network_.now();
  network_.OnNode(instance, milliseconds(3),
                  [=, this, weak = std::weak_ptr(process)](TimePoint) {
                    if (const auto running = weak.lock()) {
                      Deliver(instance,
                              running->node_->OnStoreRead(records, sent));
                      CheckReversion(*running);
                    }
                  });
}

auto PeerTestFleet::ChangeContract(const std::string& customer) -> void {
  contract::ContractRecord record{CustomerId(customer), ++revision_, {}};
  record.value_.deleted_ = true;  // The content does not matter here.
  records_[record.customer_] = record;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    // One watch event in ten is lost; the next read brings it.
    if (!processes_[i] || !IsReader(*processes_[i]) ||
        network_.random()() % 10 == 0) {
      continue;
    }
    network_.OnNode(i, milliseconds(2 + network_.random()() % 50),
                    [=, this, weak = std::weak_ptr(processes_[i])](TimePoint) {
                      if (const auto running = weak.lock()) {
                        Deliver(i, running->node_->OnStoreRecords({record}));
                        CheckReversion(*running);
                      }
                    });
  }
}

auto PeerTestFleet::Deliver(std::size_t from, const PeerOutgoings& messages)
    -> void {
  for (const auto& message : messages) {
    DeliverOne(from, message);
  }
}

auto PeerTestFleet::DeliverOne(std::size_t from, const PeerOutgoing& message)
    -> void {
  const auto to = std::stoul(message.address_);
  ++counts_.messages_;
  const auto slot = network_.now().time_since_epoch() / milliseconds(10);
  counts_.most_per_tick_ = std::max(counts_.most_per_tick_, ++per_tick_[slot]);
  if (!shape_.encode_) {
    network_.Send(from, to,
                  [=, this](TimePoint) { Receive(to, message.message_); });
    return;
  }
  const auto text = EncodePeerMessage(message.message_);
  counts_.sent_bytes_[from] += text.size();
  network_.Send(from, to, [=, this](TimePoint) {
    Receive(to, DecodePeerMessage(text).value());
  });
}

auto PeerTestFleet::Receive(std::size_t at, const PeerMessage& message)
    -> void {
  const auto process = processes_[at];
  if (process) {
    Deliver(at, process->node_->OnMessage(message, network_.now()));
    CheckReversion(*process);
  }
}

auto PeerTestFleet::CheckReversion(Process& process) -> void {
  const auto revisions = process.contracts_.Revisions();
  for (const auto& [customer, revision] : process.seen_) {
    const auto found = revisions.find(customer);
    if (found == revisions.end() || found->second < revision) {
      ++reversions_;
    }
  }
  process.seen_ = revisions;
}

auto PeerTestFleet::AllActive() const -> bool {
  return std::ranges::all_of(processes_, [this](const ProcessPtr& process) {
    if (!process) {
      return true;
    }
    const auto revisions = process->contracts_.Revisions();
    return std::ranges::all_of(records_, [&](const auto& entry) {
      const auto found = revisions.find(entry.first);
      return found != revisions.end() &&
             found->second == entry.second.revision_;
    });
  });
}

auto PeerTestFleet::AllKnown() const -> bool {
  const auto running = std::ranges::count_if(
      processes_, [](const auto& process) { return process != nullptr; });
  return std::ranges::all_of(processes_, [&](const ProcessPtr& process) {
    return !process || process->node_->table().LiveMembers().size() + 1 ==
                           static_cast<std::size_t>(running);
  });
}

auto PeerTestFleet::ResetCounts() -> void {
  counts_ = {};
  counts_.sent_bytes_.resize(shape_.instances_);
  per_tick_.clear();
}

auto PeerTestFleet::FreshCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::ranges::count_if(processes_, [this](const ProcessPtr& process) {
        return process && !process->contracts_.IsStale(network_.now());
      }));
}

auto PeerTestFleet::readers() const -> std::size_t {
  return static_cast<std::size_t>(
      std::ranges::count_if(processes_, [this](const ProcessPtr& process) {
        return process && IsReader(*process);
      }));
}

}  // namespace baobab::peers
