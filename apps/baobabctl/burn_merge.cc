#include "burn_merge.h"

#include <boost/json.hpp>
#include <chrono>
#include <optional>

#include "baobab_base/work_kind.h"

namespace baobab::ctl {
namespace {

namespace json = boost::json;

auto ToMinute(const json::value& value) -> std::optional<burn::MinuteCount> {
  constexpr std::size_t kFields = 3;
  const auto* fields = value.if_array();
  if (fields == nullptr || fields->size() != kFields) {
    return std::nullopt;
  }
  boost::system::error_code error;
  burn::MinuteCount count;
  count.minute_ = (*fields)[0].to_number<std::int64_t>(error);
  if (!error) {
    count.good_ = (*fields)[1].to_number<std::uint64_t>(error);
  }
  if (!error) {
    count.bad_ = (*fields)[2].to_number<std::uint64_t>(error);
  }
  return error ? std::nullopt : std::optional(count);
}

auto MergeObjective(const json::object& object, burn::BurnTracker& tracker)
    -> bool {
  const auto* customer = object.if_contains("customer");
  const auto* kind_name = object.if_contains("kind");
  const auto* latency = object.if_contains("latency_ms");
  const auto* target = object.if_contains("target");
  const auto* minutes = object.if_contains("minutes");
  if (customer == nullptr || !customer->is_string() || kind_name == nullptr ||
      !kind_name->is_string() || latency == nullptr || !latency->is_int64() ||
      target == nullptr || !target->is_number() || minutes == nullptr ||
      !minutes->is_array()) {
    return false;
  }
  const auto kind = ParseWorkKind(std::string(kind_name->get_string()));
  if (!kind) {
    return false;
  }
  const burn::ObjectiveKey key{CustomerId(std::string(customer->get_string())),
                               *kind};
  tracker.SetObjective(key, {std::chrono::milliseconds(latency->get_int64()),
                             target->to_number<double>()});
  bool whole = true;
  for (const auto& entry : minutes->get_array()) {
    const auto count = ToMinute(entry);
    if (count) {
      tracker.Add(key, *count);
    }
    whole = whole && count.has_value();
  }
  return whole;
}

}  // namespace

auto MergeBurnCounts(std::string_view body, burn::BurnTracker& tracker)
    -> bool {
  boost::system::error_code error;
  const auto value = json::parse({body.data(), body.size()}, error);
  const auto* list = !error && value.is_object()
                         ? value.get_object().if_contains("objectives")
                         : nullptr;
  if (list == nullptr || !list->is_array()) {
    return false;
  }
  bool whole = true;
  for (const auto& entry : list->get_array()) {
    const auto* object = entry.if_object();
    whole = object != nullptr && MergeObjective(*object, tracker) && whole;
  }
  return whole;
}

}  // namespace baobab::ctl
