#include "membership_controller.h"

#include <boost/json.hpp>
#include <utility>

#include "baobab_base/log.h"

namespace baobab {
namespace {

using membership::Liveness;
using membership::MemberState;

// How often a reader looks for a roster that no heartbeat has announced.
constexpr auto kRosterInterval = std::chrono::seconds(10);
// Between calls about the roster, drawn anew each time: after an event that
// all members see, one of them writes first and the others then find it done.
constexpr auto kRosterPause = std::chrono::milliseconds(200);
// An instance that cannot join, as in a store outage, serves on borrowed units.
constexpr auto kRosterPatience = std::chrono::seconds(3);

auto WallNow() -> WallTime {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace

MembershipController::MembershipController(ControlContext& context,
                                           PlatformCommands& commands,
                                           LimitController& limits)
    : context_(context),
      commands_(commands),
      limits_(limits),
      self_{context.self_.instance_, context.self_.incarnation_},
      table_({self_,
              context.settings_.peer_address_.host_.empty()
                  ? ""
                  : context.settings_.peer_address_.ToString(),
              context.caller_address_, context.settings_.failure_domain_,
              context.settings_.region_, MemberState::kStarting, 0},
             {}),
      roster_(limits.LoanHorizon()) {}

auto MembershipController::UpdateSelf() -> void {
  auto info = table_.self();
  info.caller_address_ = context_.caller_address_;
  info.applied_epoch_ = limits_.applied_epoch();
  info.state_ = context_.draining_ ? MemberState::kDraining
                : IsReady()        ? MemberState::kReady
                                   : MemberState::kStarting;
  table_.SetSelf(info);
}

auto MembershipController::Tick(double load) -> void {
  const auto now = context_.Now();
  load_ = load;
  if (context_.contracts_.complete() && !complete_since_) {
    complete_since_ = now;
  }
  UpdateSelf();
  for (const auto& member : table_.Tick(now)) {
    LogEvent(LogLevel::kInfo, "member_changed")
        .With("instance", member.info().process_.instance_.value())
        .With("liveness", membership::ToString(member.liveness_));
  }
  TickRoster();
}

auto MembershipController::TickRoster() -> void {
  const auto now = context_.Now();
  if (call_pending_ || now < next_call_) {
    return;
  }
  std::uniform_int_distribution<Duration::rep> draw(
      0, Duration(kRosterPause).count());
  next_call_ = now + Duration(draw(context_.random_));
  const bool reader = membership::PeerTopology::IsReader(table_);
  if (read_wanted_ || !roster_known_ || (reader && now >= next_read_)) {
    next_read_ = now + kRosterInterval;
    call_pending_ = true;
    commands_.Send(ReadRoster{});
    return;
  }
  roster_.SetLoanHorizon(limits_.LoanHorizon());
  if (context_.contracts_.complete() && !leaving_ && !InRoster()) {
    roster_.RequestJoin(self_);
  }
  if (const auto proposal = roster_.Propose(now)) {
    call_pending_ = true;
    commands_.Send(
        SwapRoster{roster_revision_, membership::EncodeRoster(*proposal)});
  }
}

auto MembershipController::OnRosterRead(const RosterRead& read) -> void {
  call_pending_ = false;
  if (read.failed_) {
    next_call_ = context_.Now() + kRosterPatience;
    return;
  }
  read_wanted_ = false;
  roster_known_ = true;
  roster_revision_ = read.revision_;
  const auto roster = membership::DecodeRoster(read.value_);
  if (!roster && read.revision_ != 0) {
    LogEvent(LogLevel::kError, "roster_malformed")
        .With("revision", read.revision_);
    next_call_ = context_.Now() + kRosterPatience;
    read_wanted_ = true;
    return;
  }
  if (roster && roster_.Learn(*roster)) {
    LogEvent(LogLevel::kInfo, "roster_learned")
        .With("epoch", roster->epoch_)
        .With("members", roster->members_.size());
    limits_.Learn(*roster);
  }
}

auto MembershipController::OnRosterSwapped() -> void {
  call_pending_ = false;
  read_wanted_ = true;  // whatever the effect was, the key tells
  next_call_ = context_.Now();
}

auto MembershipController::OnInstances(const InstancesListed& listed) -> void {
  const auto now = context_.Now();
  for (const auto& instance : listed.instances_) {
    if (instance.kind_ != platform::InstanceKind::kDaemon ||
        instance.state_ != platform::InstanceState::kEnded ||
        instance.id_ == self_.instance_) {
      continue;
    }
    const auto members = roster_.current().members_;
    for (const auto& member : members) {
      if (member.process_.instance_ == instance.id_) {
        roster_.OnEnded(member.process_, now);
      }
    }
  }
}

auto MembershipController::OnHeartbeat(const membership::Heartbeat& heartbeat)
    -> bool {
  const auto now = context_.Now();
  const auto& process = heartbeat.info_.process_;
  const auto* known = table_.Find(process.instance_);
  const auto previous =
      known == nullptr ? std::optional<ProcessId>() : known->info().process_;
  if (!table_.OnHeartbeat(heartbeat, now)) {
    return false;
  }
  const auto members = roster_.current().members_;
  for (const auto& member : members) {
    if (member.process_.instance_ == process.instance_ &&
        member.process_.incarnation_ < process.incarnation_) {
      roster_.OnEnded(member.process_, now);
    }
  }
  if (previous != process) {
    LogEvent(LogLevel::kInfo, "member_joined")
        .With("instance", process.instance_.value())
        .With("incarnation", process.incarnation_);
  }
  limits_.OnReport(process, heartbeat.info_.applied_epoch_);
  if (heartbeat.info_.applied_epoch_ > roster_.current().epoch_) {
    read_wanted_ = true;
  }
  return true;
}

auto MembershipController::OnLeave(const ProcessId& process) -> void {
  table_.OnLeave(process, context_.Now());
  roster_.OnLeft(process);
}

auto MembershipController::MakeHeartbeat() -> membership::Heartbeat {
  UpdateSelf();
  const auto& digest = context_.contracts_.digest();
  return {table_.self(),
          ++heartbeat_sequence_,
          digest.highest_,
          digest.hash_,
          context_.contracts_.Age(context_.Now()),
          load_};
}

auto MembershipController::LeaveRoster() -> void {
  leaving_ = true;
  roster_.OnLeft(self_);
}

auto MembershipController::IsReady() const -> bool {
  return complete_since_ &&
         (InRoster() || context_.Now() >= *complete_since_ + kRosterPatience);
}

auto MembershipController::FindOwner(const OperationOwner& owner) const
    -> std::optional<TargetEndpoint> {
  const auto* member = table_.Find(owner.instance_);
  if (member == nullptr || member->liveness_ == Liveness::kDead ||
      member->liveness_ == Liveness::kLeft ||
      member->info().process_.incarnation_ != owner.incarnation_) {
    return std::nullopt;
  }
  return ParseEndpoint(member->info().caller_address_);
}

auto MembershipController::Candidates() const
    -> std::vector<membership::EntryCandidate> {
  const auto now = context_.Now();
  std::vector<membership::EntryCandidate> candidates;
  candidates.push_back({context_.caller_address_,
                        context_.settings_.failure_domain_,
                        IsReady() && !context_.draining_,
                        context_.contracts_.IsStale(now), load_});
  for (const auto* member : table_.LiveMembers()) {
    const auto& last = member->last_;
    const bool stale =
        !last.contract_age_ || *last.contract_age_ + (now - member->heard_) >
                                   contract::ContractRegister::kFreshness;
    candidates.push_back({last.info_.caller_address_, last.info_.domain_,
                          last.info_.state_ == MemberState::kReady &&
                              member->liveness_ == Liveness::kAlive,
                          stale, last.load_});
  }
  return candidates;
}

auto MembershipController::EntryBody(const std::string& caller) const
    -> std::string {
  namespace json = boost::json;
  membership::EntrySettings settings;
  settings.max_age_ = context_.settings_.entry_max_age_;
  const auto answer = membership::EntryDirectory(settings).Answer(
      Candidates(), caller, context_.settings_.failure_domain_, WallNow());
  json::array addresses;
  for (const auto& address : answer.addresses_) {
    addresses.push_back(json::value(address));
  }
  return json::serialize(
      json::object{{"addresses", std::move(addresses)},
                   {"max_age_ms", answer.max_age_.count() / 1000}});
}

auto MembershipController::PlaceAmongLive() const
    -> std::pair<std::uint32_t, std::uint32_t> {
  std::uint32_t count = 1;
  std::uint32_t place = 0;
  for (const auto* member : table_.LiveMembers()) {
    ++count;
    place += member->info().process_ < self_ ? 1 : 0;
  }
  return {count, place};
}

auto MembershipController::Describe() const -> std::string {
  namespace json = boost::json;
  json::array members;
  for (const auto* member : table_.LiveMembers()) {
    const auto& info = member->info();
    members.push_back(json::object{
        {"instance", info.process_.instance_.value()},
        {"incarnation", std::to_string(info.process_.incarnation_)},
        {"address", info.caller_address_},
        {"failure_domain", info.domain_.value()},
        {"state", std::string(membership::ToString(info.state_))},
        {"liveness", std::string(membership::ToString(member->liveness_))},
        {"applied_epoch", info.applied_epoch_}});
  }
  json::array roster;
  for (const auto& member : roster_.current().members_) {
    roster.push_back(json::value(member.process_.instance_.value()));
  }
  return json::serialize(
      json::object{{"members", std::move(members)},
                   {"roster_epoch", roster_.current().epoch_},
                   {"applied_epoch", limits_.applied_epoch()},
                   {"roster", std::move(roster)}});
}

}  // namespace baobab
