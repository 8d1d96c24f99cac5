#include "baobab_replay/replay.h"

#include <iomanip>
#include <sstream>

#include "baobab_base/step_error.h"
#include "baobab_replay/admission_replay.h"
#include "baobab_replay/contract_replay.h"
#include "baobab_replay/operation_replay.h"
#include "baobab_replay/replay_subject.h"
#include "baobab_replay/stream_replay.h"

namespace baobab::replay {
namespace {

template <ReplaySubject Subject>
auto Run(const Trace& trace) -> Measures {
  Subject subject(trace);
  for (const auto& event : trace.events_) {
    subject.Apply(event);
  }
  return subject.Finish();
}

auto RunSubject(const Trace& trace) -> Measures {
  if (trace.subject_ == "admission") {
    return Run<AdmissionReplay>(trace);
  }
  if (trace.subject_ == "contracts") {
    return Run<ContractReplay>(trace);
  }
  if (trace.subject_ == "operations") {
    return Run<OperationReplay>(trace);
  }
  if (trace.subject_ == "streams") {
    return Run<StreamReplay>(trace);
  }
  trace.settings_.Fail("unknown subject \"" + trace.subject_ + "\"");
}

auto Holds(double measured, const Expectation& expectation) -> bool {
  switch (expectation.comparison_) {
    case Comparison::kAtMost:
      return measured <= expectation.value_;
    case Comparison::kAtLeast:
      return measured >= expectation.value_;
    case Comparison::kEquals:
      break;
  }
  return measured == expectation.value_;
}

auto Describe(Comparison comparison) -> std::string_view {
  switch (comparison) {
    case Comparison::kAtMost:
      return "at most ";
    case Comparison::kAtLeast:
      return "at least ";
    case Comparison::kEquals:
      break;
  }
  return "";
}

}  // namespace

auto ReplayResult::ToText() const -> std::string {
  std::ostringstream out;
  out << std::setprecision(10);
  for (const auto& [name, value] : measures_) {
    out << name << ' ' << value << '\n';
  }
  for (const auto& difference : differences_) {
    out << difference << '\n';
  }
  return out.str();
}

auto ReplayTrace(const Trace& trace) -> ReplayResult {
  ReplayResult result{RunSubject(trace), {}};
  for (const auto& expectation : trace.expectations_) {
    const auto found = result.measures_.find(expectation.measure_);
    if (found == result.measures_.end()) {
      throw StepError("trace.expect", expectation.place_,
                      "no measure \"" + expectation.measure_ + "\"");
    }
    if (!Holds(found->second, expectation)) {
      std::ostringstream line;
      line << std::setprecision(10) << expectation.place_ << ": "
           << expectation.measure_ << " is " << found->second << ", expected "
           << Describe(expectation.comparison_) << expectation.value_;
      result.differences_.push_back(line.str());
    }
  }
  return result;
}

}  // namespace baobab::replay
