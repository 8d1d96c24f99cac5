#include "placement_duty.h"

#include <algorithm>
#include <utility>

#include "baobab_base/log.h"

namespace baobab {
namespace {

constexpr auto kTick = std::chrono::milliseconds(100);
constexpr auto kPlanInterval = std::chrono::seconds(1);
// A step that cannot start within this time is planned anew.
constexpr auto kStepTime = std::chrono::seconds(15);
// Loads in flight that the weight store serves at full speed.
constexpr std::size_t kLoadsInFlight = 6;
// Part of an engine's memory that is reserved for adapters.
constexpr std::int64_t kAdapterPart = 10;
// Contracts do not name versions.
constexpr auto kVersion = "1";
// An engine without a report for this long counts as lost. It is polled every
// 2 s; a restart takes no longer.
constexpr auto kLostAfter = std::chrono::seconds(7);

auto StoreSettingsOf(const Settings& settings)
    -> platform::StoreClientSettings {
  platform::StoreClientSettings store;
  for (const auto& endpoint : settings.store_) {
    store.addresses_.push_back(endpoint.ToString());
  }
  store.answer_timeout_ = settings.store_timeout_;
  return store;
}

}  // namespace

PlacementDuty::PlacementDuty(boost::asio::io_context& io,
                             const Settings& settings, std::string holder,
                             const contract::ContractRegister& contracts)
    : timer_(io),
      io_(io),
      holder_(std::move(holder)),
      contracts_(contracts),
      store_(io, StoreSettingsOf(settings)),
      lease_(store_, holder_) {
  ApplySettings(settings);
}

auto PlacementDuty::ApplySettings(const Settings& settings) -> void {
  std::set<TargetId> named;
  for (const auto& target : settings.targets_) {
    if (!target.engine_) {
      continue;
    }
    named.insert(target.id_);
    auto& engine = engines_[target.id_];
    if (!engine.channel_ || engine.settings_ != target) {
      engine = {
          target,
          std::make_shared<EngineChannel>(io_, target.id_, target.endpoint_),
          0,
          false,
          {}};
    }
  }
  std::erase_if(engines_, [&](const auto& entry) {
    const bool gone = !named.contains(entry.first);
    if (gone && tracker_) {
      tracker_->RemoveServer(entry.first);
    }
    return gone;
  });
}

auto PlacementDuty::Tick() -> void {
  const auto now = clock_.Now();
  lease_.Tick(now);
  const auto term = lease_.Term(now);
  if (term != term_) {
    EndTerm();
    if (term != 0) {
      BeginTerm(term);
    }
  }
  if (tracker_) {
    MeasureEngines();
    tracker_->Tick(now);
    if (now >= next_plan_) {
      next_plan_ = now + kPlanInterval;
      Plan(now);
    }
    RequestPending(now);
    PerformActions();
  }
  timer_.expires_after(kTick);
  timer_.async_wait(
      [this, alive = alive_](const boost::system::error_code& error) {
        if (!error && *alive) {
          Tick();
        }
      });
}

auto PlacementDuty::BeginTerm(std::uint64_t term) -> void {
  term_ = term;
  tracker_ = std::make_unique<placement::OrderTracker>(
      holder_ + "." + std::to_string(term), term,
      placement::OrderTrackerSettings{});
  for (const auto& [target, engine] : engines_) {
    AddServer(engine);
  }
  LogEvent(LogLevel::kInfo, "planner_term_begins").With("term", term);
}

auto PlacementDuty::EndTerm() -> void {
  tracker_.reset();
  pending_.clear();
  term_ = 0;
}

auto PlacementDuty::AddServer(const Engine& engine) -> void {
  if (engine.capacity_mb_ > 0) {
    tracker_->AddServer({engine.settings_.id_, engine.capacity_mb_,
                         engine.capacity_mb_ / kAdapterPart, "",
                         engine.settings_.honours_fencing_});
  }
}

// The capacity of an engine is known from its first report only.
auto PlacementDuty::MeasureEngines() -> void {
  for (auto& [target, engine] : engines_) {
    if (engine.capacity_mb_ > 0 || engine.measuring_) {
      continue;
    }
    engine.measuring_ = true;
    engine.channel_->Poll([this, id = target, alive = alive_](
                              std::optional<placement::ServerReport> report) {
      if (!*alive || !engines_.contains(id)) {
        return;
      }
      auto& measured = engines_[id];
      measured.measuring_ = false;
      if (report) {
        measured.reported_at_ = clock_.Now();
        measured.capacity_mb_ = report->capacity_mb_;
        if (tracker_) {
          AddServer(measured);
        }
      }
    });
  }
}

auto PlacementDuty::NamedModels() const
    -> std::map<ModelId, placement::PlannedModel> {
  std::map<ModelId, placement::PlannedModel> models;
  for (const auto* contract : contracts_.ActiveContracts()) {
    for (const auto& model : contract->models_) {
      auto& planned = models[model.name_];
      planned.key_ = {model.name_, kVersion};
      planned.memory_mb_ = std::max(planned.memory_mb_, model.memory_mb_);
      planned.weight_ = std::max<double>(planned.weight_, contract->weight_);
    }
  }
  return models;
}

// Gives the planner the servers, the models and the copies of the records.
// Returns the number of loads in flight.
auto PlacementDuty::FillPlanner(TimePoint now) -> std::size_t {
  auto models = NamedModels();
  std::vector<placement::PlannedServer> servers;
  std::vector<const placement::ServerRecord*> records;
  for (const auto& [target, engine] : engines_) {
    const auto* record = tracker_->FindRecord(target);
    if (record == nullptr || record->engine_ == 0) {
      continue;
    }
    const bool live = now < engine.reported_at_ + kLostAfter;
    tracker_->SetLive(target, live);
    records.push_back(record);
    servers.push_back({target, engine.settings_.failure_domain_,
                       record->capacity_mb_ - record->adapter_budget_mb_, 1,
                       live});
    for (const auto& [key, copy] : record->copies_) {
      if (!models.contains(key.model_)) {
        models[key.model_] = {key, copy.memory_mb_, 0, 0, false};
      }
    }
  }
  std::map<ModelId, std::size_t> numbers;
  std::vector<placement::PlannedModel> list;
  for (const auto& [id, model] : models) {
    numbers[id] = list.size();
    list.push_back(model);
  }
  SetUpPlanner(std::move(servers), std::move(list));
  std::size_t loads = 0;
  for (std::size_t i = 0; i < records.size(); ++i) {
    for (const auto& [key, copy] : records[i]->copies_) {
      planner_.AddCopy(i, numbers.at(key.model_), copy.phase_);
      loads += copy.phase_ == placement::CopyPhase::kLoading ? 1 : 0;
    }
  }
  return loads;
}

// The planner forgets when models last moved if it is reset.
auto PlacementDuty::SetUpPlanner(std::vector<placement::PlannedServer> servers,
                                 std::vector<placement::PlannedModel> models)
    -> void {
  if (servers == servers_ && models == models_) {
    planner_.ClearCopies();
    return;
  }
  servers_ = servers;
  models_ = models;
  planner_.Reset(std::move(servers), std::move(models));
}

auto PlacementDuty::Plan(TimePoint now) -> void {
  // Steps of the last plan come first: their room is made for them.
  if (!contracts_.complete() || !pending_.empty()) {
    return;
  }
  std::set<ModelId> named;
  for (const auto& [id, model] : NamedModels()) {
    named.insert(id);
  }
  tracker_->SetNamedModels(std::move(named));
  const auto loads = std::min(FillPlanner(now), kLoadsInFlight);
  for (auto& step : planner_.IncrementalPlan(kLoadsInFlight - loads, now)) {
    LogEvent(LogLevel::kInfo, "placement_step")
        .With("kind", placement::ToString(step.kind_))
        .With("target", step.target_.value())
        .With("model", step.copy_.model_.value())
        .With("memory_mb", step.memory_mb_);
    pending_.push_back({std::move(step), now + kStepTime});
  }
}

auto PlacementDuty::RequestPending(TimePoint now) -> void {
  std::erase_if(pending_, [&](const Pending& pending) {
    const auto result = tracker_->Request(pending.step_, now);
    const bool retry = result == placement::StepResult::kBusy ||
                       result == placement::StepResult::kNoRoom;
    return !retry || now >= pending.until_;
  });
}

}  // namespace baobab
