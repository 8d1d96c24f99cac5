#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::replay {

/// Fields of one line of a trace. Reading a missing field or one of another
/// type throws StepError with the source and line.
class TraceFields {
 public:
  using Value = std::variant<bool, double, std::string>;

  TraceFields() = default;

  /// `place` is "source:line" and appears in errors.
  TraceFields(std::string place, std::map<std::string, Value> values);

  /// Returns a text field.
  [[nodiscard]] auto Text(const std::string& key) const -> std::string;

  /// Returns a number field.
  [[nodiscard]] auto Number(const std::string& key) const -> double;

  /// Returns a number field, or `otherwise` if it is missing.
  [[nodiscard]] auto Number(const std::string& key, double otherwise) const
      -> double;

  /// Returns a number field in milliseconds as a duration.
  [[nodiscard]] auto Milliseconds(const std::string& key) const -> Duration;

  /// Throws StepError with `reason` and the place of this line.
  [[noreturn]] auto Fail(const std::string& reason) const -> void;

  /// "source:line".
  [[nodiscard]] auto place() const -> const std::string& { return place_; }

 private:
  std::string place_;
  std::map<std::string, Value> values_;
};

/// Something that happened at a time.
struct TraceEvent {
  TimePoint at_;
  std::string type_;
  TraceFields fields_;
};

/// How a measure is compared with its stated value.
enum class Comparison : std::uint8_t { kEquals, kAtMost, kAtLeast };

/// A stated outcome.
struct Expectation {
  std::string place_;
  std::string measure_;
  Comparison comparison_ = Comparison::kEquals;
  double value_ = 0;
};

/// A trace: header, events in order of time, stated outcomes.
struct Trace {
  std::string subject_;  ///< Which core classes it drives; see docs/traces.md.
  std::uint64_t seed_ = 0;
  TraceFields settings_;
  std::vector<TraceEvent> events_;
  std::vector<Expectation> expectations_;
};

/// Reads a trace in JSON Lines, format version 1 (docs/traces.md). Throws
/// StepError with `source` and the line number if a line is malformed, out of
/// order, or if there is no expectation.
[[nodiscard]] auto ReadTrace(std::istream& input, const std::string& source)
    -> Trace;

}  // namespace baobab::replay
