#include "peer_controller.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace baobab {
namespace {

auto Seeds(const Settings& settings) -> std::vector<std::string> {
  std::vector<std::string> seeds;
  for (const auto& peer : settings.peers_) {
    seeds.push_back(peer.endpoint_.ToString());
  }
  return seeds;
}

auto NodeSettings(const Settings& settings) -> peers::PeerNodeSettings {
  peers::PeerNodeSettings node;
  node.seeds_ = Seeds(settings);
  return node;
}

}  // namespace

PeerController::PeerController(ControlContext& context,
                               MembershipController& members,
                               ContractController& contracts,
                               LimitController& limits)
    : context_(context),
      members_(members),
      contracts_(contracts),
      limits_(limits),
      node_(&members.table(), &context.contracts_, &contracts.gossip(),
            &context.random_, NodeSettings(context.settings_)) {}

auto PeerController::Tick() -> void {
  SendLoans(limits_.Tick(members_.table()));
  if (commands_ == nullptr) {
    return;
  }
  Send(node_.Tick(context_.Now()));
  for (auto& address : node_.TakeReconnects()) {
    commands_->Send(PeerCommand{{std::move(address), {}}, true});
  }
}

auto PeerController::Send(peers::PeerOutgoings messages) -> void {
  if (commands_ == nullptr) {
    return;
  }
  for (auto& message : messages) {
    commands_->Send(PeerCommand{std::move(message), false});
  }
}

auto PeerController::SendContracts(contract::ContractMessages messages)
    -> void {
  peers::PeerOutgoings out;
  for (auto& message : messages) {
    std::visit(
        [&](auto& body) {
          if (auto addressed = node_.Address(message.to_, std::move(body))) {
            out.push_back(std::move(*addressed));
          }
        },
        message.body_);
  }
  Send(std::move(out));
}

// Messages to one process travel together.
auto PeerController::SendLoans(const limits::LoanMessages& messages) -> void {
  std::map<ProcessId, peers::LoanRequests> requests;
  std::map<ProcessId, peers::LoanAnswers> answers;
  for (const auto& message : messages) {
    if (const auto* request =
            std::get_if<limits::LoanRequest>(&message.body_)) {
      requests[message.to_].requests_.push_back(*request);
    } else {
      answers[message.to_].answers_.push_back(
          std::get<limits::LoanAnswer>(message.body_));
    }
  }
  peers::PeerOutgoings out;
  const auto append = [&](const auto& bodies) {
    for (const auto& [to, body] : bodies) {
      if (auto addressed = node_.Address(to, body)) {
        out.push_back(std::move(*addressed));
      }
    }
  };
  append(requests);
  append(answers);
  Send(std::move(out));
}

auto PeerController::Handle(const peers::PeerMessage& message) -> void {
  const auto& from = message.from_;
  if (from == members_.table().self().process_) {
    return;
  }
  const auto* body = &message.body_;
  if (const auto* heartbeat = std::get_if<peers::HeartbeatMessage>(body)) {
    OnHeartbeat(from, *heartbeat);
  } else if (const auto* leave = std::get_if<peers::Leave>(body)) {
    // With loans outstanding its share must wait until they have ended.
    if (leave->loans_settled_) {
      members_.OnLeave(from);
    }
  } else {
    OnLoans(from, *body);
  }
  Send(node_.OnMessage(message, context_.Now()));
  contracts_.Changed();
}

auto PeerController::OnLoans(const ProcessId& from, const peers::PeerBody& body)
    -> void {
  limits::LoanMessages out;
  const auto take = [&](limits::LoanMessages more) {
    std::ranges::move(more, std::back_inserter(out));
  };
  if (const auto* requests = std::get_if<peers::LoanRequests>(&body)) {
    for (const auto& request : requests->requests_) {
      take(limits_.OnRequest(from, request));
    }
  } else if (const auto* returns = std::get_if<peers::LoanReturns>(&body)) {
    for (const auto& request : returns->requests_) {
      take(limits_.OnRequest(from, request));
    }
  } else if (const auto* answers = std::get_if<peers::LoanAnswers>(&body)) {
    for (const auto& answer : answers->answers_) {
      take(limits_.OnAnswer(from, answer));
    }
  }
  SendLoans(out);
}

// The membership controller notices new processes and applied epochs; the node
// does the rest with the same message.
auto PeerController::OnHeartbeat(const ProcessId& from,
                                 const peers::HeartbeatMessage& message)
    -> void {
  const auto* known = members_.table().Find(from.instance_);
  const auto same = known != nullptr && known->info().process_ == from;
  if (!message.info_ && !same) {
    return;
  }
  if (!same || known->liveness_ != membership::Liveness::kAlive) {
    node_.RequestPlan();
  }
  membership::Heartbeat heartbeat;
  heartbeat.info_ = message.info_ ? *message.info_ : known->info();
  heartbeat.sequence_ = message.sequence_;
  heartbeat.contract_highest_ = message.contract_highest_;
  heartbeat.contract_hash_ = message.contract_hash_;
  heartbeat.contract_age_ = message.contract_age_;
  heartbeat.load_ = message.load_;
  members_.OnHeartbeat(heartbeat);
}

auto PeerController::OnInstances(const InstancesListed& listed) -> void {
  auto seeds = Seeds(context_.settings_);
  for (const auto& instance : listed.instances_) {
    if (instance.kind_ == platform::InstanceKind::kDaemon &&
        instance.state_ != platform::InstanceState::kEnded &&
        !instance.peer_address_.empty()) {
      seeds.push_back(instance.peer_address_);
    }
  }
  node_.SetSeeds(std::move(seeds));
}

auto PeerController::Leave() -> void {
  Send(node_.LeaveAll(!limits_.HasLoans()));
}

}  // namespace baobab
