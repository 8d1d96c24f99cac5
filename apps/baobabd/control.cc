#include "control.h"

#include <algorithm>
#include <boost/json.hpp>
#include <tuple>
#include <utility>

#include "baobab_base/log.h"

namespace baobab {
namespace {

// Often enough for hedges and stragglers, which TargetSelector expects.
constexpr auto kTick = std::chrono::milliseconds(50);
// A drain that waits for the store longer than this leaves its base share to
// be removed by others.
constexpr auto kRosterLeaveTime = std::chrono::seconds(3);

auto WallNow() -> WallTime {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

auto Unauthorized() -> Problem {
  return {401,
          Outcome::kNotRun,
          "authenticate",
          "",
          "the Authorization header holds no key of a contract",
          std::nullopt};
}

auto UnknownPath(const HttpRequest& request) -> Problem {
  return {404,
          Outcome::kNotRun,
          "request",
          "",
          "no endpoint " + request.method_ + " " + request.path_,
          std::nullopt};
}

}  // namespace

Control::Control(ControlContext& context, std::function<void()> on_drained)
    : context_(context),
      on_drained_(std::move(on_drained)),
      timer_(context.io_),
      targets_(context),
      limits_(context),
      members_(context, context.platform_, limits_),
      contracts_(
          context, context.platform_, [this] { OnContractsChanged(); },
          [this](contract::ContractMessages messages) {
            peers_.SendContracts(std::move(messages));
          }),
      peers_(context, members_, contracts_, limits_),
      admission_(context, targets_, limits_),
      chats_(context, targets_, admission_,
             [this](const CustomerId& customer, WorkKind kind, bool succeeded,
                    Duration latency) {
               OnRequestEnd(customer, kind, succeeded, latency);
             }),
      services_(context, targets_, admission_,
                [this](const CustomerId& customer, WorkKind kind,
                       bool succeeded, Duration latency) {
                  OnRequestEnd(customer, kind, succeeded, latency);
                }),
      operators_(context, targets_, admission_, members_, limits_,
                 [this] { BeginDrain(); }),
      drain_(context.settings_.entry_max_age_) {
  services_.SetSeams(
      [this](const OperationOwner& owner) { return members_.FindOwner(owner); },
      [this](const LedgerStep& step) { CallStore(step); }, nullptr);
}

auto Control::CallStore(const LedgerStep& step) -> void {
  context_.platform_.Send(
      CallClaim{step.ref_, step.claim_action_, step.claim_, step.claim_call_});
}

auto Control::Start() -> void {
  if (!context_.settings_.store_.empty()) {
    placement_ = std::make_unique<PlacementDuty>(
        context_.io_, context_.settings_,
        context_.self_.instance_.value() + "-" +
            std::to_string(context_.self_.incarnation_),
        context_.contracts_);
    placement_->Start();
  }
  Tick();
}

auto Control::OnContractsChanged() -> void {
  authenticator_.Rebuild(context_.contracts_);
  limits_.ApplyContracts();
  for (const auto& [customer, revision] : context_.contracts_.Revisions()) {
    if (context_.contracts_.Find(customer) == nullptr) {
      operators_.burn().RemoveCustomer(customer);
    }
  }
  for (const auto* contract : context_.contracts_.ActiveContracts()) {
    for (const auto& objective : contract->objectives_) {
      operators_.burn().SetObjective({contract->customer_, objective.kind_},
                                     {objective.latency_, objective.target_});
    }
  }
}

auto Control::OnInstances(const InstancesListed& listed) -> void {
  members_.OnInstances(listed);
  peers_.OnInstances(listed);
  for (const auto& instance : listed.instances_) {
    if (instance.kind_ == platform::InstanceKind::kDaemon) {
      continue;
    }
    const TargetId target(instance.id_.value());
    if (instance.state_ == platform::InstanceState::kLeaving) {
      targets_.OnDraining(target);
    } else if (instance.state_ == platform::InstanceState::kEnded) {
      targets_.OnRemoved(target);
    }
  }
}

auto Control::Handle(PlatformEvent&& event) -> void {
  std::visit(
      Overloaded{
          [](std::monostate) {},
          [this](ContractsRead& read) { contracts_.OnRead(read); },
          [this](ContractsChanged& changed) { contracts_.OnChanged(changed); },
          [this](ContractHistoryLost&) { contracts_.OnHistoryLost(); },
          [this](RosterRead& read) { members_.OnRosterRead(read); },
          [this](RosterSwapped&) { members_.OnRosterSwapped(); },
          [this](ClaimAnswered& answered) {
            services_.OnClaimAnswer(answered.ref_, answered.answer_);
          },
          [this](InstancesListed& listed) { OnInstances(listed); }},
      event);
}

auto Control::Handle(peers::PeerMessage&& message) -> void {
  peers_.Handle(message);
}

auto Control::Handle(CallerEvent&& event) -> void {
  std::visit(Overloaded{[](std::monostate) {},
                        [this](RequestArrived& arrived) { Dispatch(arrived); },
                        [this](CallerGone& gone) {
                          chats_.OnCallerGone(gone.caller_);
                          services_.OnCallerGone(gone.caller_);
                        },
                        [this](CallerBlocked& blocked) {
                          chats_.OnCallerBlocked(blocked);
                        },
                        [this](CallersEnded&) { callers_ended_ = true; }},
             event);
}

auto Control::Handle(TargetEvent&& event) -> void {
  std::visit(
      Overloaded{
          [](std::monostate) {},
          [this](LoadArrived& arrived) { chats_.OnLoad(arrived); },
          [this](ChunkArrived& arrived) { chats_.OnChunk(arrived); },
          [this](ChatEnded& ended) { chats_.OnEnded(ended.attempt_); },
          [this](ChatFailed& failed) { chats_.OnFailed(failed); },
          [this](ServiceAnswered& answered) { services_.OnAnswered(answered); },
          [this](ServiceFailed& failed) { services_.OnFailed(failed); },
          [this](ReportArrived& arrived) {
            targets_.OnReport(arrived);
            admission_.Pump();
          },
          [this](ReportFailed& failed) { targets_.OnReportFailed(failed); },
          [this](CacheEventsArrived& arrived) {
            targets_.OnCacheEvents(arrived);
          },
          // Orders are sent only by placement, which is not wired.
          [](OrderEnded&) {}},
      event);
}

auto Control::Dispatch(const RequestArrived& arrived) -> void {
  const auto& request = arrived.request_;
  if (operators_.Handle(arrived)) {
    return;
  }
  if (arrived.caller_.admin_) {
    context_.Fail(arrived.caller_, UnknownPath(request));
    return;
  }
  if (request.method_ == "GET" && request.path_ == "/v1/entry") {
    context_.ReplyJson(arrived.caller_,
                       members_.EntryBody(request.caller_address_));
    return;
  }
  const auto customer = authenticator_.CustomerOf(request);
  if (!customer || context_.contracts_.Find(*customer) == nullptr) {
    context_.Fail(arrived.caller_, Unauthorized());
    return;
  }
  DispatchCustomer(arrived, *customer);
}

auto Control::DispatchCustomer(const RequestArrived& arrived,
                               const CustomerId& customer) -> void {
  const auto& [method, path] =
      std::tie(arrived.request_.method_, arrived.request_.path_);
  if (method == "POST" && path == "/v1/chat/completions") {
    chats_.Begin(arrived, customer);
  } else if (path.starts_with("/v1/services/")) {
    services_.Begin(arrived, customer);
  } else if (method == "POST" && path == "/v1/operation-keys") {
    services_.IssueKey(arrived.caller_);
  } else if (method == "GET" && path.starts_with("/v1/operations/")) {
    services_.LookUp(arrived, customer);
  } else if (method == "GET" && path == "/v1/models") {
    ReplyModels(arrived, customer);
  } else {
    context_.Fail(arrived.caller_, UnknownPath(arrived.request_));
  }
}

auto Control::ReplyModels(const RequestArrived& arrived,
                          const CustomerId& customer) -> void {
  namespace json = boost::json;
  json::array models;
  for (const auto& model : context_.contracts_.Find(customer)->models_) {
    json::array adapters;
    for (const auto& adapter : model.adapters_) {
      adapters.push_back(json::value(adapter.value()));
    }
    models.push_back(json::object{{"id", model.name_.value()},
                                  {"object", "model"},
                                  {"owned_by", customer.value()},
                                  {"adapters", std::move(adapters)},
                                  {"loaded", targets_.IsHeld(model.name_)}});
  }
  context_.ReplyJson(arrived.caller_,
                     json::serialize(json::object{
                         {"object", "list"}, {"data", std::move(models)}}));
}

auto Control::OnRequestEnd(const CustomerId& customer, WorkKind kind,
                           bool succeeded, Duration latency) -> void {
  operators_.burn().Record({customer, kind}, succeeded, latency, WallNow());
}

auto Control::Tick() -> void {
  const auto slots = std::max<std::size_t>(targets_.TotalSlots(), 1);
  members_.Tick(std::min(
      1.0, static_cast<double>(admission_.running() + admission_.waiting()) /
               static_cast<double>(slots)));
  const auto [instances, place] = members_.PlaceAmongLive();
  targets_.SetLongShare(instances, place);
  contracts_.Tick(membership::PeerTopology::IsReader(members_.table()));
  peers_.Tick();
  targets_.Tick();
  admission_.Tick();
  chats_.Tick();
  services_.Tick();
  TickDrain();
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

auto Control::BeginDrain() -> void {
  if (context_.draining_) {
    return;
  }
  LogEvent(LogLevel::kInfo, "drain_started")
      .With("requests", chats_.size() + services_.size());
  context_.draining_ = true;
  drain_.Begin(context_.Now());
}

auto Control::InFlight() const -> std::size_t {
  const auto open = chats_.size() + services_.size();
  // Until caller I/O has stopped, a connection may bring another request.
  return callers_ended_ ? open : std::max<std::size_t>(open, 1);
}

auto Control::TickDrain() -> void {
  if (!context_.draining_ || ended_) {
    return;
  }
  const auto now = context_.Now();
  const auto step = drain_.Step(now, InFlight(), limits_.HasLoans());
  if (step != drain_step_) {
    drain_step_ = step;
    drain_step_since_ = now;
    EnterDrainStep(step);
  }
  const auto waited = now - drain_step_since_;
  const bool late = step != membership::DrainStep::kLeavingEntries &&
                    waited >= context_.settings_.drain_timeout_;
  const bool left = step == membership::DrainStep::kStopped &&
                    (!members_.InRoster() || waited >= kRosterLeaveTime);
  if (late || left) {
    LogEvent(late ? LogLevel::kWarning : LogLevel::kInfo, "drain_ended")
        .With("unfinished_requests", chats_.size() + services_.size())
        .With("in_roster", members_.InRoster());
    ended_ = true;
    peers_.Leave();
    on_drained_();
  }
}

auto Control::EnterDrainStep(membership::DrainStep step) -> void {
  if (step == membership::DrainStep::kFinishing) {
    LogEvent(LogLevel::kInfo, "drain_refuses_connections")
        .With("requests", chats_.size() + services_.size());
    context_.callers_.Send(StopAccepting{});
  } else if (step == membership::DrainStep::kStopped) {
    members_.LeaveRoster();
  }
}

auto Control::ApplySettings(const Settings& settings) -> void {
  auto& current = context_.settings_;
  for (const auto& key : KeysThatNeedRestart(current, settings)) {
    LogEvent(LogLevel::kWarning, "setting_needs_restart").With("key", key);
  }
  current.caller_limits_ = settings.caller_limits_;
  current.entry_max_age_ = settings.entry_max_age_;
  current.drain_timeout_ = settings.drain_timeout_;
  current.peers_ = settings.peers_;
  current.targets_ = settings.targets_;
  current.admission_.long_work_tokens_ = settings.admission_.long_work_tokens_;
  current.admission_.default_deadline_ = settings.admission_.default_deadline_;
  targets_.ApplySettings();
  if (placement_) {
    placement_->ApplySettings(current);
  }
  context_.callers_.Send(SetCallerLimits{current.caller_limits_});
  LogEvent(LogLevel::kInfo, "settings_reloaded")
      .With("targets", current.targets_.size());
}

}  // namespace baobab
