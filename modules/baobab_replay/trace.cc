#include "baobab_replay/trace.h"

#include <boost/json.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "baobab_base/step_error.h"

namespace baobab::replay {
namespace {

namespace json = boost::json;

constexpr int kTraceVersion = 1;

auto ParseFields(const json::object& line, const std::string& place)
    -> TraceFields {
  std::map<std::string, TraceFields::Value> values;
  for (const auto& [key, value] : line) {
    if (value.is_bool()) {
      values[key] = value.as_bool();
    } else if (value.is_string()) {
      values[key] = std::string(value.as_string());
    } else if (value.is_number()) {
      values[key] = value.to_number<double>();
    } else {
      throw StepError("trace.read", place,
                      "field \"" + std::string(key) +
                          "\" must be text, a number or true/false");
    }
  }
  return {place, std::move(values)};
}

auto ParseExpectation(const json::object& line, const TraceFields& fields)
    -> Expectation {
  constexpr std::array<std::pair<const char*, Comparison>, 3> kComparisons = {
      {{"equals", Comparison::kEquals},
       {"at_most", Comparison::kAtMost},
       {"at_least", Comparison::kAtLeast}}};
  std::optional<Expectation> expectation;
  for (const auto& [key, comparison] : kComparisons) {
    if (line.contains(key)) {
      if (expectation) {
        fields.Fail("an expectation has one of equals, at_most and at_least");
      }
      expectation = {fields.place(), fields.Text("expect"), comparison,
                     fields.Number(key)};
    }
  }
  if (!expectation) {
    fields.Fail("an expectation needs equals, at_most or at_least");
  }
  return *expectation;
}

auto ReadHeader(const TraceFields& fields, Trace& trace) -> void {
  if (fields.Number("trace") != kTraceVersion) {
    fields.Fail("the format version must be 1");
  }
  trace.subject_ = fields.Text("subject");
  trace.seed_ = static_cast<std::uint64_t>(fields.Number("seed"));
  trace.settings_ = fields;
}

auto AddEvent(TraceFields fields, Trace& trace) -> void {
  const auto at = TimePoint(fields.Milliseconds("at_ms"));
  if (!trace.events_.empty() && at < trace.events_.back().at_) {
    fields.Fail("at_ms is before that of the line above");
  }
  auto type = fields.Text("event");
  trace.events_.push_back({at, std::move(type), std::move(fields)});
}

auto AddLine(const std::string& text, const std::string& place, Trace& trace)
    -> void {
  const auto line = json::parse(text).as_object();
  auto fields = ParseFields(line, place);
  if (trace.subject_.empty()) {
    ReadHeader(fields, trace);
  } else if (line.contains("expect")) {
    trace.expectations_.push_back(ParseExpectation(line, fields));
  } else {
    AddEvent(std::move(fields), trace);
  }
}

}  // namespace

TraceFields::TraceFields(std::string place, std::map<std::string, Value> values)
    : place_(std::move(place)), values_(std::move(values)) {}

auto TraceFields::Text(const std::string& key) const -> std::string {
  const auto found = values_.find(key);
  if (found == values_.end() ||
      !std::holds_alternative<std::string>(found->second)) {
    Fail("field \"" + key + "\" must be text");
  }
  return std::get<std::string>(found->second);
}

auto TraceFields::Number(const std::string& key) const -> double {
  const auto found = values_.find(key);
  if (found == values_.end() ||
      !std::holds_alternative<double>(found->second)) {
    Fail("field \"" + key + "\" must be a number");
  }
  return std::get<double>(found->second);
}

auto TraceFields::Number(const std::string& key, double otherwise) const
    -> double {
  return values_.contains(key) ? Number(key) : otherwise;
}

auto TraceFields::Milliseconds(const std::string& key) const -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Number(key)));
}

auto TraceFields::Fail(const std::string& reason) const -> void {
  throw StepError("trace.read", place_, reason);
}

auto ReadTrace(std::istream& input, const std::string& source) -> Trace {
  Trace trace;
  std::string text;
  for (int number = 1; std::getline(input, text); ++number) {
    if (text.empty()) {
      continue;
    }
    const auto place = source + ":" + std::to_string(number);
    try {
      AddLine(text, place, trace);
    } catch (const StepError&) {
      throw;
    } catch (const std::exception& error) {
      throw StepError("trace.read", place, error.what());
    }
  }
  if (trace.expectations_.empty()) {
    throw StepError("trace.read", source, "the trace states no outcome");
  }
  return trace;
}

}  // namespace baobab::replay
