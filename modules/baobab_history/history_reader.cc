#include "baobab_history/history_reader.h"

#include <boost/json.hpp>
#include <stdexcept>
#include <string_view>

#include "baobab_base/step_error.h"

namespace baobab::history {
namespace {

namespace json = boost::json;

auto OptionalText(const json::object& line, std::string_view key)
    -> std::string {
  const auto* value = line.if_contains(key);
  return value == nullptr ? std::string() : std::string(value->as_string());
}

auto OptionalNumber(const json::object& line, std::string_view key,
                    std::int64_t otherwise) -> std::int64_t {
  const auto* value = line.if_contains(key);
  return value == nullptr ? otherwise : value->to_number<std::int64_t>();
}

auto ParseOutcome(std::string_view text) -> Outcome {
  for (const auto outcome :
       {Outcome::kCompleted, Outcome::kNotRun, Outcome::kUnknown}) {
    if (text == ToString(outcome)) {
      return outcome;
    }
  }
  throw std::invalid_argument("unknown outcome \"" + std::string(text) + "\"");
}

auto ParseContractKind(std::string_view text) -> ContractOperation::Kind {
  using Kind = ContractOperation::Kind;
  if (text == "accepted") {
    return Kind::kAccepted;
  }
  if (text == "unknown") {
    return Kind::kUnknown;
  }
  if (text == "not_accepted" || text == "conflict") {
    return Kind::kNotAccepted;
  }
  if (text == "read") {
    return Kind::kRead;
  }
  throw std::invalid_argument("unknown contract result \"" + std::string(text) +
                              "\"");
}

template <class Operation>
auto WithInterval(Operation operation, const json::object& line)
    -> Interval<Operation> {
  const auto start = line.at("start_us").to_number<std::int64_t>();
  const auto end = OptionalNumber(line, "end_us", kNeverEnded);
  if (end < start) {
    throw std::invalid_argument("end_us is before start_us");
  }
  return {std::move(operation), start, end};
}

auto AddLine(const json::object& line, RecordedHistories& histories) -> void {
  const std::string_view type = line.at("type").as_string();
  if (type == "contract") {
    const ContractOperation operation{
        ParseContractKind(line.at("result").as_string()),
        OptionalNumber(line, "expected", 0),
        OptionalNumber(line, "revision", 0), OptionalText(line, "change_id")};
    histories.contracts_[OptionalText(line, "customer")].push_back(
        WithInterval(operation, line));
  } else if (type == "run") {
    const SubmitOperation operation{SubmitOperation::Kind::kRun,
                                    Outcome::kCompleted,
                                    OptionalText(line, "result")};
    histories.operations_[std::string(line.at("key").as_string())].push_back(
        WithInterval(operation, line));
  } else if (type == "answer") {
    const SubmitOperation operation{
        SubmitOperation::Kind::kAnswer,
        ParseOutcome(line.at("outcome").as_string()),
        OptionalText(line, "result")};
    histories.operations_[std::string(line.at("key").as_string())].push_back(
        WithInterval(operation, line));
  } else {
    throw std::invalid_argument("unknown type \"" + std::string(type) + "\"");
  }
}

}  // namespace

auto ReadHistories(std::istream& input, const std::string& source)
    -> RecordedHistories {
  RecordedHistories histories;
  std::string text;
  for (int number = 1; std::getline(input, text); ++number) {
    if (text.empty()) {
      continue;
    }
    try {
      AddLine(json::parse(text).as_object(), histories);
    } catch (const std::exception& error) {
      throw StepError("history.read", source + ":" + std::to_string(number),
                      error.what());
    }
  }
  return histories;
}

}  // namespace baobab::history
