#include "stand_ins/engine.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "baobab_base/rendezvous_hash.h"
#include "stand_ins/answer_text.h"
#include "stand_ins/json_fields.h"

namespace baobab::stand_in {

namespace json = boost::json;

namespace {

/// Bytes of prompt per token, about that of English text.
constexpr std::size_t kBytesPerToken = 4;

/// New work later than this after the leaving became visible is counted as a
/// violation (guarantee G6).
constexpr Duration kLeaveGrace = std::chrono::seconds(3);

auto UncachedTokens(const std::string& prompt, std::size_t cached_blocks)
    -> std::size_t {
  return (prompt.size() - cached_blocks * kBlockBytes) / kBytesPerToken;
}

}  // namespace

Engine::Engine(const EngineSettings& settings, WeightStore& weights,
               TimePoint now)
    : settings_(settings),
      incarnation_(HashKey(settings.name_, settings.seed_) >> 1),
      orders_(settings.memory_mb_, settings.honours_fence_, weights),
      batch_(settings.batch_),
      cache_(settings.cache_, settings.seed_) {
  TakeSnapshot(now);
}

auto Engine::Preload(const std::string& model, std::int64_t memory_mb,
                     TimePoint now) -> void {
  orders_.Preload(model, memory_mb);
  snapshots_.clear();
  TakeSnapshot(now);
}

auto Engine::Submit(const ChatRequest& request, TimePoint now) -> Submission {
  AdvanceOrders(now);
  if (draining_since_ && now > *draining_since_ + kLeaveGrace) {
    ++requests_after_leaving_;
  }
  if (!orders_.Holds(request.model_)) {
    return {0, Refusal::kModelMissing};
  }
  if (!request.adapter_.empty() && !orders_.HoldsAdapter(request.adapter_)) {
    return {0, Refusal::kAdapterMissing};
  }
  Generation generation;
  generation.end_ = AnswerLength(request.prompt_, request.max_tokens_);
  if (request.resume_offset_ >= generation.end_) {
    return {0, Refusal::kBadOffset};
  }
  generation.request_id_ = request.request_id_;
  generation.priority_ = request.priority_;
  generation.first_ = request.resume_offset_;
  const auto cached = cache_.Use(request.model_, request.prompt_, now);
  generation.prompt_tokens_ = UncachedTokens(request.prompt_, cached);
  const auto ticket = batch_.Submit(generation, now);
  if (!ticket) {
    return {0, Refusal::kQueueFull};
  }
  prompts_[*ticket] = request.prompt_;
  return {*ticket, Refusal::kNone};
}

auto Engine::Cancel(std::uint64_t ticket, TimePoint now) -> void {
  batch_.Cancel(ticket, now);
  prompts_.erase(ticket);
}

auto Engine::ApplyCancel(const std::string& request_id, TimePoint now) -> void {
  for (const auto ticket : batch_.Find(request_id)) {
    Cancel(ticket, now);
    cancelled_.push_back(ticket);
  }
}

auto Engine::AcceptOrder(const Order& order, TimePoint now)
    -> std::optional<OrderAnswer> {
  if (lost_orders_ > 0) {
    --lost_orders_;
    return std::nullopt;
  }
  TimePoint start = now;
  if (late_orders_ > 0) {
    --late_orders_;
    start += late_;
  }
  const auto answer = orders_.Accept(order, start);
  if (answer == OrderAnswer::kAccepted && order.kind_ == "cancel") {
    ApplyCancel(order.model_, now);
  }
  AdvanceOrders(now);
  return answer;
}

auto Engine::AdvanceOrders(TimePoint now) -> void {
  for (const auto& model : orders_.Advance(now)) {
    cache_.RemoveModel(model, now);
  }
}

auto Engine::Advance(TimePoint now) -> std::vector<ChatToken> {
  AdvanceOrders(now);
  if (slow_until_ && now >= *slow_until_) {
    batch_.SetSlowdown(1);
    slow_until_.reset();
  }
  std::vector<ChatToken> tokens;
  for (const auto& event : batch_.Advance(now)) {
    tokens.push_back({event.ticket_, event.offset_, event.last_,
                      AnswerToken(prompts_[event.ticket_], event.offset_)});
    if (event.last_) {
      prompts_.erase(event.ticket_);
    }
  }
  if (now >= snapshots_.back().taken_ + settings_.report_interval_) {
    TakeSnapshot(now);
  }
  return tokens;
}

auto Engine::NextDue() const -> TimePoint {
  TimePoint next = snapshots_.back().taken_ + settings_.report_interval_;
  for (const auto& due : {batch_.NextDue(), orders_.NextDue(), slow_until_}) {
    next = due ? std::min(next, *due) : next;
  }
  return next;
}

auto Engine::TakeCancelled() -> std::vector<std::uint64_t> {
  return std::exchange(cancelled_, {});
}

auto Engine::TakeSnapshot(TimePoint now) -> void {
  snapshots_.push_back(
      {now, {batch_.running(), batch_.waiting()}, RenderReport()});
  // Keep the newest snapshot that is at least as old as the lag.
  while (snapshots_.size() > 1 &&
         snapshots_[1].taken_ <= now - settings_.report_lag_) {
    snapshots_.pop_front();
  }
}

auto Engine::Published(TimePoint now) const -> const Snapshot& {
  const auto later = std::find_if(
      snapshots_.begin(), snapshots_.end(), [&](const Snapshot& snapshot) {
        return snapshot.taken_ > now - settings_.report_lag_;
      });
  return later == snapshots_.begin() ? *later : *std::prev(later);
}

auto Engine::Report(TimePoint now) const -> std::string {
  return Published(now).report_;
}

auto Engine::LoadReport(TimePoint now) const -> PublishedLoad {
  return Published(now).load_;
}

auto Engine::RenderReport() const -> std::string {
  // A copy that is being unloaded still holds its memory, so it is listed.
  json::array models;
  json::array loading;
  for (const auto& [name, copy] : orders_.models()) {
    auto& list = copy.state_ == "loading" ? loading : models;
    list.push_back({{"name", name.model_},
                    {"version", name.version_},
                    {"memory_mb", copy.memory_mb_},
                    {"state", copy.state_}});
  }
  json::array running;
  for (const auto& id : orders_.Outstanding()) {
    running.push_back(json::value(id));
  }
  json::array adapters;
  for (const auto& adapter : orders_.adapters()) {
    adapters.push_back(json::value(adapter));
  }
  json::array finished;
  for (const auto& order : orders_.finished()) {
    finished.push_back({{"order_id", order.order_id_},
                        {"ok", order.ok_},
                        {"reason", order.reason_}});
  }
  const auto& memory = orders_.memory();
  return json::serialize(
      json::object{{"engine", settings_.name_},
                   {"incarnation", incarnation_},
                   {"draining", draining_since_.has_value()},
                   {"role", orders_.role()},
                   {"memory_total_mb", memory.capacity_mb()},
                   {"memory_used_mb", memory.used_mb()},
                   {"memory_peak_mb", memory.peak_mb()},
                   {"overcommits", memory.overcommits()},
                   {"models", std::move(models)},
                   {"loading", std::move(loading)},
                   {"adapters", std::move(adapters)},
                   {"slots", settings_.batch_.slots_},
                   {"running", batch_.running()},
                   {"waiting", batch_.waiting()},
                   {"honours_fence", settings_.honours_fence_},
                   {"fence", orders_.fence()},
                   {"running_orders", std::move(running)},
                   {"finished_orders", std::move(finished)},
                   {"requests_after_leaving", requests_after_leaving_}});
}

auto Engine::CacheEvents(std::uint64_t after, TimePoint now) const
    -> std::string {
  json::array events;
  std::uint64_t last = after;
  for (const auto& event : cache_.EventsAfter(after, now)) {
    last = event.sequence_;
    events.push_back({{"sequence", event.sequence_},
                      {"kind", event.removed_ ? "removed" : "stored"},
                      {"model", event.model_},
                      {"block", std::to_string(event.block_)}});
  }
  return json::serialize(json::object{{"incarnation", incarnation_},
                                      {"last", last},
                                      {"events", std::move(events)}});
}

auto Engine::ImportBlocks(const std::string& model,
                          const std::vector<std::uint64_t>& blocks,
                          TimePoint now) -> void {
  for (const auto block : blocks) {
    cache_.Insert(model, block, now);
  }
}

auto Engine::SetFault(std::string_view body, TimePoint now) -> void {
  const auto fault = ParseObject(body);
  if (fault.contains("slow_factor")) {
    batch_.SetSlowdown(RealField(fault, "slow_factor", 1));
    slow_until_ = now + std::chrono::milliseconds(
                            NumberField(fault, "slow_for_ms", 10000));
  }
  lost_orders_ = NumberField(fault, "lost_orders", lost_orders_);
  if (fault.contains("late_orders")) {
    late_orders_ = NumberField(fault, "late_orders");
    late_ = std::chrono::milliseconds(NumberField(fault, "late_ms", 1000));
  }
  if (fault.contains("draining")) {
    draining_since_ = FlagField(fault, "draining")
                          ? std::optional<TimePoint>(now)
                          : std::nullopt;
  }
}

}  // namespace baobab::stand_in
