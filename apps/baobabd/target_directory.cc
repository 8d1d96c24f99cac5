#include "target_directory.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

#include "baobab_base/log.h"

namespace baobab {
namespace {

constexpr double kLongPart = 0.5;  // of the slots, for long work

auto SelectorSettings(const Settings& settings) -> TargetSelectorSettings {
  TargetSelectorSettings selector;
  selector.table_.instance_ = settings.instance_.value();
  selector.long_part_ = kLongPart;
  selector.report_interval_ = settings.report_interval_;
  return selector;
}

auto NameOf(TargetState state) -> const char* {
  switch (state) {
    case TargetState::kUp:
      return "up";
    case TargetState::kDraining:
      return "draining";
    case TargetState::kDown:
      return "down";
    case TargetState::kGone:
      break;
  }
  return "gone";
}

}  // namespace

TargetDirectory::TargetDirectory(ControlContext& context)
    : context_(context), selector_(SelectorSettings(context.settings_)) {
  ApplySettings();
}

auto TargetDirectory::Find(const TargetId& id) -> std::optional<TargetIndex> {
  return selector_.table().FindTarget(id);
}

auto TargetDirectory::AddTarget(const TargetSettings& settings) -> void {
  const auto known = Find(settings.id_);
  const auto index = selector_.table().AddTarget(
      {settings.id_, settings.failure_domain_,
       static_cast<std::uint32_t>(settings.slots_)});
  if (!known) {
    targets_.emplace_back();
  }
  auto& target = targets_[index];
  target.settings_ = settings;
  target.named_ = true;
  if (!settings.engine_) {
    const std::vector<ModelId> service = {ModelId(settings.service_)};
    selector_.table().SetModels(index, service);
  }
}

auto TargetDirectory::ApplySettings() -> void {
  for (auto& target : targets_) {
    target.named_ = false;
  }
  for (const auto& settings : context_.settings_.targets_) {
    AddTarget(settings);
  }
  for (TargetIndex index = 0; index < targets_.size(); ++index) {
    if (!targets_[index].named_) {
      selector_.OnRemoved(index);
    }
  }
}

auto TargetDirectory::Tick() -> void {
  const auto now = context_.Now();
  selector_.Tick(now);
  for (auto& target : targets_) {
    if (!target.named_ || !target.settings_.engine_ || target.report_pending_ ||
        now < target.next_report_) {
      continue;
    }
    target.report_pending_ = true;
    target.next_report_ = now + context_.settings_.report_interval_;
    context_.targets_.Send(
        FetchReport{target.settings_.id_, target.settings_.endpoint_, 0});
    if (target.incarnation_ != 0 &&
        !std::exchange(target.cache_pending_, true)) {
      context_.targets_.Send(FetchCacheEvents{target.settings_.id_,
                                              target.settings_.endpoint_,
                                              target.last_cache_event_});
    }
  }
}

auto TargetDirectory::TakeIncarnation(TargetIndex index,
                                      std::uint64_t incarnation) -> void {
  auto& target = targets_[index];
  if (target.incarnation_ != 0 && target.incarnation_ != incarnation) {
    selector_.OnRestarted(index, context_.Now());
    target.last_cache_event_ = 0;
    LogEvent(LogLevel::kWarning, "target_restarted")
        .With("target", target.settings_.id_.value());
  }
  target.incarnation_ = incarnation;
}

auto TargetDirectory::OnReport(const ReportArrived& arrived) -> void {
  const auto index = Find(arrived.target_);
  if (!index || !targets_[*index].named_) {
    return;
  }
  if (arrived.probe_ != 0) {
    if (auto probe = probes_.extract(arrived.probe_)) {
      probe.mapped()(true);
    }
  } else {
    targets_[*index].report_pending_ = false;
  }
  const auto& report = arrived.report_;
  TakeIncarnation(*index, report.incarnation_);
  OnLoad(*index, report.load_);
  if (report.draining_) {
    OnDraining(arrived.target_);
  }
  std::vector<ModelId> models;
  for (const auto& model : report.models_) {
    if (model.state_ == "loaded") {
      models.emplace_back(model.name_);
    }
  }
  selector_.table().SetModels(*index, models);
  if (on_report_) {
    on_report_(arrived.target_, report);
  }
}

auto TargetDirectory::OnLoad(TargetIndex target, const EngineLoad& load)
    -> void {
  selector_.OnReport(target,
                     {static_cast<std::uint32_t>(load.running_),
                      static_cast<std::uint32_t>(load.waiting_)},
                     context_.Now());
}

auto TargetDirectory::OnReportFailed(const ReportFailed& failed) -> void {
  const auto index = Find(failed.target_);
  if (!index) {
    return;
  }
  if (failed.probe_ != 0) {
    OnUnreachable(*index);
    if (auto probe = probes_.extract(failed.probe_)) {
      probe.mapped()(false);
    }
    return;
  }
  targets_[*index].report_pending_ = false;
  if (failed.failure_.step_ == "connect") {
    OnUnreachable(*index);
  }
}

auto TargetDirectory::OnCacheEvents(const CacheEventsArrived& arrived) -> void {
  const auto index = Find(arrived.target_);
  if (!index) {
    return;
  }
  auto& target = targets_[*index];
  target.cache_pending_ = false;
  const auto events = ParseCacheEvents(arrived.body_);
  if (!events || events->incarnation_ != target.incarnation_) {
    return;
  }
  for (const auto& event : events->events_) {
    selector_.OnCacheEvent(*index,
                           {event.removed_ ? CacheEvent::Kind::kRemoved
                                           : CacheEvent::Kind::kStored,
                            event.sequence_, event.block_},
                           context_.Now());
  }
  target.last_cache_event_ = events->last_;
}

auto TargetDirectory::OnDraining(const TargetId& target) -> void {
  const auto index = Find(target);
  if (!index || selector_.table().state(*index) == TargetState::kDraining) {
    return;
  }
  selector_.OnDraining(*index);
  LogEvent(LogLevel::kInfo, "target_draining").With("target", target.value());
}

auto TargetDirectory::OnRemoved(const TargetId& target) -> void {
  if (const auto index = Find(target)) {
    selector_.OnRemoved(*index);
  }
}

auto TargetDirectory::OnUnreachable(TargetIndex target) -> void {
  if (selector_.table().state(target) == TargetState::kUp) {
    LogEvent(LogLevel::kWarning, "target_unreachable")
        .With("target", targets_[target].settings_.id_.value());
  }
  selector_.OnUnreachable(target);
}

auto TargetDirectory::Probe(TargetIndex target, std::function<void(bool)> done)
    -> void {
  const auto& settings = targets_[target].settings_;
  probes_[++last_probe_] = std::move(done);
  context_.targets_.Send(
      FetchReport{settings.id_, settings.endpoint_, last_probe_});
}

auto TargetDirectory::SetLongShare(std::uint32_t instances,
                                   std::uint32_t position) -> void {
  instances_ = std::max<std::uint32_t>(instances, 1);
  selector_.SetLongShare(instances_, position);
}

auto TargetDirectory::TakesLong(TargetIndex target) const -> bool {
  // An upper bound on what TargetSelector allows; it decides exactly.
  const auto& table = selector_.table();
  const double slots = kLongPart * table.info(target).slots_;
  return table.load(target).own_long_ < std::ceil(slots / instances_);
}

auto TargetDirectory::HasRoom(const ModelId& model, WorkKind kind) const
    -> bool {
  const auto& table = selector_.table();
  const auto number = table.FindModel(model);
  if (!number) {
    return false;
  }
  const auto holders = table.Holders(*number);
  return std::any_of(holders.begin(), holders.end(), [&](TargetIndex target) {
    const auto& load = table.load(target);
    return table.state(target) == TargetState::kUp &&
           load.own_count_ + load.others_count_ < table.info(target).slots_ &&
           (kind != WorkKind::kLong || TakesLong(target));
  });
}

auto TargetDirectory::IsHeld(const ModelId& model) const -> bool {
  const auto& table = selector_.table();
  const auto number = table.FindModel(model);
  if (!number) {
    return false;
  }
  const auto holders = table.Holders(*number);
  return std::any_of(holders.begin(), holders.end(), [&](TargetIndex target) {
    return table.state(target) == TargetState::kUp;
  });
}

auto TargetDirectory::EndpointOf(TargetIndex target) const
    -> const TargetEndpoint& {
  return targets_[target].settings_.endpoint_;
}

auto TargetDirectory::TotalSlots() const -> std::size_t {
  const auto& table = selector_.table();
  std::size_t slots = 0;
  for (TargetIndex index = 0; index < targets_.size(); ++index) {
    if (table.state(index) == TargetState::kUp) {
      slots += table.info(index).slots_;
    }
  }
  return slots;
}

auto TargetDirectory::Describe() const -> std::string {
  namespace json = boost::json;
  const auto& table = selector_.table();
  json::array list;
  for (TargetIndex index = 0; index < targets_.size(); ++index) {
    const auto& target = targets_[index];
    const auto& load = table.load(index);
    list.push_back(json::object{
        {"id", target.settings_.id_.value()},
        {"address", target.settings_.endpoint_.ToString()},
        {"kind", target.settings_.engine_ ? "engine" : "service"},
        {"failure_domain", target.settings_.failure_domain_.value()},
        {"state", NameOf(table.state(index))},
        {"incarnation", std::to_string(target.incarnation_)},
        {"slots", target.settings_.slots_},
        {"own_requests", load.own_count_},
        {"other_requests", load.others_count_},
        {"models", table.Models(index).size()}});
  }
  return json::serialize(json::object{{"targets", std::move(list)}});
}

}  // namespace baobab
