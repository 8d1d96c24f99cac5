#include "stand_ins/service_ledger.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "stand_ins/json_fields.h"

namespace baobab::stand_in {

namespace json = boost::json;

auto ServiceLedger::Run(const std::string& key, const std::string& path,
                        std::string_view body, TimePoint now) -> ServiceAnswer {
  if (rejections_ > 0) {
    --rejections_;
    return {429, R"({"error":"rejected"})", false, {}};
  }
  const auto run = key.empty() ? ++without_key_ : ++runs_[key];
  json::object answer{{"operation", key},
                      {"path", path},
                      {"run", run},
                      {"bytes", body.size()},
                      {"result", "done"}};
  ServiceAnswer result{200, json::serialize(answer), false, delay_};
  if (now < slow_until_) {
    result.delay_ += slow_;
  }
  if (lost_answers_ > 0) {
    --lost_answers_;
    result.lost_ = true;
  }
  return result;
}

auto ServiceLedger::SetFault(std::string_view body, TimePoint now) -> void {
  const auto fault = ParseObject(body);
  lost_answers_ = NumberField(fault, "lost_answers", lost_answers_);
  rejections_ = NumberField(fault, "rejections", rejections_);
  if (fault.contains("slow_ms")) {
    slow_ = std::chrono::milliseconds(NumberField(fault, "slow_ms"));
    slow_until_ = now + std::chrono::milliseconds(
                            NumberField(fault, "slow_for_ms", 10000));
  }
}

auto ServiceLedger::Runs() const -> std::string {
  json::object by_key;
  for (const auto& [key, count] : runs_) {
    by_key[key] = count;
  }
  const auto repeated =
      std::count_if(runs_.begin(), runs_.end(),
                    [](const auto& entry) { return entry.second > 1; });
  return json::serialize(json::object{{"runs", std::move(by_key)},
                                      {"keys", runs_.size()},
                                      {"repeated", repeated},
                                      {"without_key", without_key_}});
}

}  // namespace baobab::stand_in
