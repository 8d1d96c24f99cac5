#include "baobab_peers/peer_node.h"

#include <algorithm>
#include <set>
#include <utility>

namespace baobab::peers {
namespace {

using membership::Liveness;
using membership::PeerTopology;

// Heartbeats in full to each peer after a change, so that two may be lost.
constexpr int kFullHeartbeats = 3;
// Silence is judged this often; each time looks at every member.
constexpr Duration kJudgeInterval = std::chrono::milliseconds(250);
// Full summaries and rosters are asked for at most this often.
constexpr Duration kAskInterval = std::chrono::seconds(1);

}  // namespace

PeerNode::PeerNode(membership::MembershipTable* table,
                   contract::ContractRegister* contracts,
                   contract::ContractGossip* gossip, Random* random,
                   PeerNodeSettings settings)
    : table_(table),
      contracts_(contracts),
      gossip_(gossip),
      random_(random),
      settings_(std::move(settings)) {}

auto PeerNode::Tick(TimePoint now) -> PeerOutgoings {
  PeerOutgoings out;
  if (announced_ != table_->self()) {
    announced_ = table_->self();
    full_sent_.clear();
    next_heartbeat_.reset();
  }
  if (!judged_ || now - *judged_ >= kJudgeInterval) {
    judged_ = now;
    plan_due_ = !table_->Tick(now).empty() || plan_due_;
  }
  if (next_heartbeat_ && now < *next_heartbeat_) {
    return out;
  }
  // The table's owner may judge silence too, which is noticed here.
  plan_due_ = plan_due_ || sequence_ % settings_.slow_every_ == 0;
  UpdatePlan();
  const auto interval = settings_.membership_.heartbeat_interval_;
  next_heartbeat_ = settings_.jitter_
                        ? membership::NextHeartbeat(now, interval, *random_)
                        : now + interval;
  ++sequence_;
  SendHeartbeats(out, now);
  // A starting daemon asks often, since others may start at the same time.
  if (sequence_ <= settings_.slow_every_ ||
      sequence_ % settings_.slow_every_ == 1) {
    SendSeeds(out, now);
  }
  if (plan_.is_relay_ && sequence_ % settings_.summary_every_ == 0) {
    SendSummaries(out, now);
  }
  return out;
}

auto PeerNode::UpdatePlan() -> void {
  if (!std::exchange(plan_due_, false)) {
    return;
  }
  plan_ = PeerTopology::Plan(*table_);
  const std::set<ProcessId> mesh(plan_.mesh_.begin(), plan_.mesh_.end());
  std::erase_if(full_sent_,
                [&](const auto& entry) { return !mesh.contains(entry.first); });
  auto peers = plan_.mesh_;
  if (plan_.is_relay_) {
    peers.insert(peers.end(), plan_.relays_.begin(), plan_.relays_.end());
  }
  gossip_->SetPeers(std::move(peers));
}

auto PeerNode::Envelope(const std::string& address, PeerBody body)
    -> PeerOutgoing {
  return {address,
          {table_->self().process_, ++message_sequence_, std::move(body)}};
}

auto PeerNode::Address(const ProcessId& process, PeerBody body)
    -> std::optional<PeerOutgoing> {
  const auto* member = table_->Find(process.instance_);
  if (member == nullptr || member->info().process_ != process) {
    return std::nullopt;
  }
  return Envelope(member->info().peer_address_, std::move(body));
}

auto PeerNode::Append(PeerOutgoings& out, const ProcessId& to, PeerBody body)
    -> void {
  auto message = Address(to, std::move(body));
  if (message) {
    out.push_back(std::move(*message));
  }
}

auto PeerNode::Append(PeerOutgoings& out, contract::ContractMessages messages)
    -> void {
  for (auto& message : messages) {
    std::visit([&](auto& body) { Append(out, message.to_, std::move(body)); },
               message.body_);
  }
}

auto PeerNode::MakeHeartbeat(TimePoint now) const -> HeartbeatMessage {
  HeartbeatMessage heartbeat;
  heartbeat.sequence_ = sequence_;
  heartbeat.contract_highest_ = contracts_->digest().highest_;
  heartbeat.contract_hash_ = contracts_->digest().hash_;
  heartbeat.contract_age_ = contracts_->Age(now);
  heartbeat.roster_epoch_ = roster_.epoch_;
  heartbeat.load_ = load_;
  if (plan_.is_relay_) {
    heartbeat.remote_hash_ = table_->RemoteHash();
  }
  return heartbeat;
}

auto PeerNode::SendHeartbeats(PeerOutgoings& out, TimePoint now) -> void {
  const auto heartbeat = MakeHeartbeat(now);
  for (const auto& peer : plan_.mesh_) {
    auto copy = heartbeat;
    auto& full = full_sent_[peer];
    if (full < kFullHeartbeats || sequence_ % settings_.slow_every_ == 0) {
      copy.info_ = table_->self();
      ++full;
    }
    const auto* member = table_->Find(peer.instance_);
    copy.wants_info_ =
        member != nullptr && member->liveness_ == Liveness::kSuspect;
    Append(out, peer, std::move(copy));
  }
}

// Members that are gone may be cut off rather than ended, and a starting
// daemon knows nobody.
auto PeerNode::SendSeeds(PeerOutgoings& out, TimePoint now) -> void {
  std::set<std::string> known = {table_->self().peer_address_};
  for (const auto* member : table_->LiveMembers()) {
    known.insert(member->info().peer_address_);
  }
  auto heartbeat = MakeHeartbeat(now);
  heartbeat.info_ = table_->self();
  heartbeat.wants_info_ = true;
  for (const auto& seed : settings_.seeds_) {
    if (!known.contains(seed)) {
      out.push_back(Envelope(seed, heartbeat));
    }
  }
}

auto PeerNode::MakeSummary(const FailureDomain& domain,
                           std::optional<TimePoint> since, TimePoint now) const
    -> DomainSummaryMessage {
  return {table_->Summarize(domain, since), std::nullopt,
          contracts_->digest().highest_, contracts_->digest().hash_,
          contracts_->Age(now)};
}

auto PeerNode::SendSummaries(PeerOutgoings& out, TimePoint now) -> void {
  const auto& domain = table_->self().domain_;
  for (const auto& relay : plan_.summary_relays_) {
    const auto* member = table_->Find(relay.instance_);
    if (member != nullptr) {
      auto summary = MakeSummary(domain, summarized_, now);
      summary.receiver_hash_ = table_->DomainHash(member->info().domain_);
      Append(out, relay, std::move(summary));
    }
  }
  summarized_ = now;
}

auto PeerNode::ForwardSummary(PeerOutgoings& out, const FailureDomain& domain,
                              TimePoint since, TimePoint now) -> void {
  for (const auto& peer : plan_.mesh_) {
    Append(out, peer, MakeSummary(domain, since, now));
  }
}

auto PeerNode::OnMessage(const PeerMessage& message, TimePoint now)
    -> PeerOutgoings {
  PeerOutgoings out;
  const auto& from = message.from_;
  const auto* body = &message.body_;
  if (const auto* heartbeat = std::get_if<HeartbeatMessage>(body)) {
    OnHeartbeat(out, from, *heartbeat, now);
  } else if (std::holds_alternative<Leave>(*body)) {
    table_->OnLeave(from, now);
    plan_due_ = true;
  } else if (const auto* summary = std::get_if<DomainSummaryMessage>(body)) {
    OnSummary(out, from, *summary, now);
  } else if (const auto* pull = std::get_if<contract::ContractPull>(body)) {
    Append(out, gossip_->OnPull(from, *pull));
  } else if (const auto* push = std::get_if<contract::ContractPush>(body)) {
    UpdatePlan();
    Append(out, gossip_->OnPush(from, *push));
  } else if (const auto* relayed = std::get_if<RosterRelay>(body)) {
    LearnRoster(relayed->roster_);
  }
  return out;
}

auto PeerNode::OnHeartbeat(PeerOutgoings& out, const ProcessId& from,
                           const HeartbeatMessage& message, TimePoint now)
    -> void {
  const auto* known = table_->Find(from.instance_);
  const auto same = known != nullptr && known->info().process_ == from;
  if (!message.info_ && !same) {
    return;  // A full heartbeat follows within slow_every_.
  }
  const auto returned = !same || known->liveness_ == Liveness::kDead ||
                        (message.info_ && *message.info_ != known->info());
  membership::Heartbeat heartbeat;
  heartbeat.info_ = message.info_ ? *message.info_ : known->info();
  heartbeat.sequence_ = message.sequence_;
  heartbeat.load_ = message.load_;
  heartbeat.contract_age_ = message.contract_age_;
  if (table_->OnHeartbeat(heartbeat, now)) {
    plan_due_ = plan_due_ || returned;
  }
  const contract::ContractDigest digest{message.contract_highest_,
                                        message.contract_hash_};
  Append(out, gossip_->OnDigest(from, digest, message.contract_age_, now));
  const auto lacks_remote = message.remote_hash_ && !plan_.is_relay_ &&
                            heartbeat.info_.domain_ == table_->self().domain_ &&
                            !table_->OnRemoteHash(*message.remote_hash_, now);
  AskFor(out, from, lacks_remote, message.roster_epoch_ > roster_.epoch_, now);
  AnswerWants(out, from, message, now);
}

auto PeerNode::AskFor(PeerOutgoings& out, const ProcessId& from, bool remote,
                      bool roster, TimePoint now) -> void {
  if ((!remote && !roster) || (asked_ && now - *asked_ < kAskInterval)) {
    return;
  }
  asked_ = now;
  auto heartbeat = MakeHeartbeat(now);
  heartbeat.wants_remote_ = remote;
  heartbeat.wants_roster_ = roster;
  Append(out, from, std::move(heartbeat));
}

auto PeerNode::AnswerWants(PeerOutgoings& out, const ProcessId& from,
                           const HeartbeatMessage& message, TimePoint now)
    -> void {
  const auto* member = table_->Find(from.instance_);
  if (member == nullptr) {
    return;
  }
  if (message.wants_info_) {
    reconnects_.push_back(member->info().peer_address_);
    auto heartbeat = MakeHeartbeat(now);
    heartbeat.info_ = table_->self();
    Append(out, from, std::move(heartbeat));
  }
  if (message.wants_info_ || message.wants_remote_) {
    for (const auto& domain : table_->OtherDomains()) {
      Append(out, from, MakeSummary(domain, std::nullopt, now));
    }
  }
  if (message.wants_info_) {
    Append(out, from, MakeSummary(table_->self().domain_, std::nullopt, now));
  }
  if (message.wants_roster_) {
    Append(out, from, RosterRelay{roster_});
  }
}

auto PeerNode::OnSummary(PeerOutgoings& out, const ProcessId& from,
                         const DomainSummaryMessage& message, TimePoint now)
    -> void {
  const auto& domain = message.summary_.domain_;
  const auto before = table_->DomainHash(domain);
  table_->OnSummary(message.summary_, now);
  const auto changed = table_->DomainHash(domain) != before;
  plan_due_ = plan_due_ || changed;
  Append(out, gossip_->OnDigest(
                  from, {message.contract_highest_, message.contract_hash_},
                  message.contract_age_, now));
  if (!plan_.is_relay_) {
    return;
  }
  if (changed) {
    ForwardSummary(out, domain, now - Duration(1), now);
  }
  const auto& own = table_->self().domain_;
  if (message.receiver_hash_ &&
      *message.receiver_hash_ != table_->DomainHash(own)) {
    Append(out, from, MakeSummary(own, std::nullopt, now));
  }
}

auto PeerNode::OnStoreRecords(
    const std::vector<contract::ContractRecord>& records) -> PeerOutgoings {
  PeerOutgoings out;
  UpdatePlan();
  Append(out, gossip_->OnStoreRecords(records));
  return out;
}

auto PeerNode::OnStoreRead(const std::vector<contract::ContractRecord>& records,
                           TimePoint sent) -> PeerOutgoings {
  PeerOutgoings out;
  UpdatePlan();
  Append(out, gossip_->OnStoreRead(records, sent));
  return out;
}

auto PeerNode::LeaveAll(bool loans_settled) -> PeerOutgoings {
  PeerOutgoings out;
  for (const auto* member : table_->LiveMembers()) {
    Append(out, member->info().process_, Leave{loans_settled});
  }
  return out;
}

auto PeerNode::LearnRoster(const RosterEpoch& roster) -> bool {
  if (roster.epoch_ <= roster_.epoch_) {
    return false;
  }
  roster_ = roster;
  return true;
}

}  // namespace baobab::peers
