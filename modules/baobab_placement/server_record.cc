#include "baobab_placement/server_record.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <numeric>
#include <stdexcept>

#include "baobab_base/step_error.h"

namespace baobab::placement {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 2> kOrderKinds = {"load", "unload"};
constexpr std::array<std::string_view, 3> kPhases = {"loading", "resident",
                                                     "unloading"};

template <class Enum, std::size_t kCount>
auto FromString(const std::array<std::string_view, kCount>& names,
                const json::value& value) -> Enum {
  const auto text = value.as_string().subview();
  const auto found = std::find(names.begin(), names.end(), text);
  if (found == names.end()) {
    throw std::invalid_argument("unknown word '" + std::string(text) + "'");
  }
  return static_cast<Enum>(found - names.begin());
}

auto Text(const json::object& object, std::string_view key) -> std::string {
  return std::string(object.at(key).as_string());
}

template <class Number>
auto Number64(const json::object& object, std::string_view key) -> Number {
  return object.at(key).to_number<Number>();
}

auto OrderToJson(const OutstandingOrder& order) -> json::object {
  return {{"id", order.id_.value()},
          {"kind", ToString(order.kind_)},
          {"fence", order.fence_}};
}

auto OrderFromJson(const json::object& object) -> OutstandingOrder {
  return {.id_ = OrderId(Text(object, "id")),
          .kind_ = FromString<OrderKind>(kOrderKinds, object.at("kind")),
          .fence_ = Number64<std::uint64_t>(object, "fence")};
}

auto CopyToJson(const CopyKey& key, const ModelCopy& copy) -> json::object {
  json::object object{{"model", key.model_.value()},
                      {"version", key.version_},
                      {"phase", ToString(copy.phase_)},
                      {"memory_mb", copy.memory_mb_}};
  if (copy.order_) {
    object["order"] = OrderToJson(*copy.order_);
  }
  return object;
}

auto AddCopy(const json::object& object, ServerRecord* record) -> void {
  ModelCopy copy{.phase_ = FromString<CopyPhase>(kPhases, object.at("phase")),
                 .memory_mb_ = Number64<std::int64_t>(object, "memory_mb"),
                 .order_ = std::nullopt};
  if (const auto* order = object.if_contains("order")) {
    copy.order_ = OrderFromJson(order->as_object());
  }
  record->copies_.emplace(
      CopyKey{ModelId(Text(object, "model")), Text(object, "version")},
      std::move(copy));
}

auto FromJson(const json::object& object) -> ServerRecord {
  ServerRecord record;
  record.target_ = TargetId(Text(object, "target"));
  record.capacity_mb_ = Number64<std::int64_t>(object, "capacity_mb");
  record.adapter_budget_mb_ =
      Number64<std::int64_t>(object, "adapter_budget_mb");
  record.role_ = Text(object, "role");
  record.engine_ = Number64<Incarnation>(object, "engine");
  record.fence_ = Number64<std::uint64_t>(object, "fence");
  record.sequencer_ = InstanceId(Text(object, "sequencer"));
  record.write_id_ = Text(object, "write_id");
  for (const auto& copy : object.at("copies").as_array()) {
    AddCopy(copy.as_object(), &record);
  }
  return record;
}

}  // namespace

auto ToString(OrderKind kind) -> std::string_view {
  return kOrderKinds[static_cast<std::size_t>(kind)];
}

auto ToString(CopyPhase phase) -> std::string_view {
  return kPhases[static_cast<std::size_t>(phase)];
}

auto ServerRecord::ChargedMb() const -> std::int64_t {
  return std::accumulate(copies_.begin(), copies_.end(), adapter_budget_mb_,
                         [](std::int64_t sum, const auto& entry) {
                           return sum + entry.second.memory_mb_;
                         });
}

auto ServerRecord::Holds(const ModelId& model) const -> bool {
  auto copy = copies_.lower_bound(CopyKey{model, ""});
  for (; copy != copies_.end() && copy->first.model_ == model; ++copy) {
    if (copy->second.phase_ == CopyPhase::kResident) {
      return true;
    }
  }
  return false;
}

auto ServerRecord::Lists(const ModelId& model) const -> bool {
  const auto copy = copies_.lower_bound(CopyKey{model, ""});
  return copy != copies_.end() && copy->first.model_ == model;
}

auto ServerRecord::ToText() const -> std::string {
  json::array copies;
  for (const auto& [key, copy] : copies_) {
    copies.push_back(CopyToJson(key, copy));
  }
  return json::serialize(json::object{{"target", target_.value()},
                                      {"capacity_mb", capacity_mb_},
                                      {"adapter_budget_mb", adapter_budget_mb_},
                                      {"role", role_},
                                      {"engine", engine_},
                                      {"fence", fence_},
                                      {"sequencer", sequencer_.value()},
                                      {"write_id", write_id_},
                                      {"copies", std::move(copies)}});
}

auto ServerRecord::Parse(std::string_view text, Revision revision)
    -> ServerRecord {
  try {
    auto record = FromJson(json::parse(json::string_view(text)).as_object());
    record.revision_ = revision;
    return record;
  } catch (const std::exception& error) {
    throw StepError("server_record.parse",
                    "revision " + std::to_string(revision), error.what());
  }
}

}  // namespace baobab::placement
