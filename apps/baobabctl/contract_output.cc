#include "contract_output.h"

#include <boost/json.hpp>
#include <iostream>

#include "exit_code.h"
#include "text_table.h"

namespace baobab::ctl {

namespace json = boost::json;

namespace {

using contract::ChangeVerdict;

auto CodeOf(ChangeVerdict verdict) -> int {
  switch (verdict) {
    case ChangeVerdict::kAccepted:
      return kSuccess;
    case ChangeVerdict::kNotAccepted:
      return kFailure;
    case ChangeVerdict::kConflict:
      return kConflict;
    case ChangeVerdict::kUnknown:
      break;
  }
  return kUnknown;
}

auto DifferencesToJson(
    const std::vector<contract::ContractDifference>& differences)
    -> json::array {
  json::array list;
  for (const auto& difference : differences) {
    list.push_back({{"field", difference.field_},
                    {"before", difference.before_},
                    {"after", difference.after_}});
  }
  return list;
}

/// What the stored contract has that the requested one has not.
auto ConflictDifferences(const contract::ContractChangeRequest& request,
                         const contract::ChangeResult& result)
    -> std::vector<contract::ContractDifference> {
  const auto wanted = contract::ParseContract(request.text_);
  return contract::DiffContracts(
      wanted.contract_.value_or(contract::Contract{}),
      ParseOrEmpty(result.current_));
}

auto QueryCommand(const contract::ContractChangeRequest& request)
    -> std::string {
  return "baobabctl contract query " + request.customer_.value() +
         " --change-id " + request.change_id_ + " --base " +
         std::to_string(request.base_revision_);
}

auto PrintText(const contract::ContractChangeRequest& request,
               const contract::ChangeResult& result) -> void {
  std::cout << ToString(result.verdict_);
  if (result.verdict_ == ChangeVerdict::kAccepted) {
    std::cout << " at revision " << result.revision_;
  }
  std::cout << ", customer " << request.customer_ << ", change "
            << request.change_id_ << '\n';
  if (!result.reason_.empty()) {
    std::cout << "reason: " << result.reason_ << '\n';
  }
  if (result.verdict_ == ChangeVerdict::kConflict && result.current_) {
    const auto& value = result.current_->value_;
    std::cout << "standing: revision " << result.current_->revision_ << " by "
              << value.author_ << ", " << FormatTime(value.written_at_)
              << ", note: " << value.note_ << '\n';
    if (!request.text_.empty()) {
      std::cout << "requested -> standing:\n";
      PrintDifferences(ConflictDifferences(request, result), false);
    }
  }
  if (result.verdict_ == ChangeVerdict::kUnknown) {
    std::cout << "ask again: " << QueryCommand(request) << '\n';
  }
}

}  // namespace

auto RecordToJson(const contract::ContractRecord& record) -> json::object {
  const auto& value = record.value_;
  return {{"customer", record.customer_.value()},
          {"revision", record.revision_},
          {"deleted", value.deleted_},
          {"change_id", value.change_id_},
          {"author", value.author_},
          {"written_at", FormatTime(value.written_at_)},
          {"note", value.note_},
          {"text", value.text_}};
}

auto HistoryToJson(const contract::ContractRecord& record) -> json::array {
  const auto& value = record.value_;
  json::array changes{
      json::object{{"change_id", value.change_id_},
                   {"revision", record.revision_},
                   {"author", value.author_},
                   {"text_sha256", contract::Sha256Hex(value.text_)},
                   {"written_at", FormatTime(value.written_at_)},
                   {"note", value.note_}}};
  for (const auto& change : value.recent_changes_) {
    changes.push_back({{"change_id", change.change_id_},
                       {"revision", change.revision_},
                       {"author", change.author_},
                       {"text_sha256", change.text_digest_}});
  }
  return changes;
}

auto ParseOrEmpty(const std::optional<contract::ContractRecord>& record)
    -> contract::Contract {
  if (!record || record->value_.deleted_) {
    return {};
  }
  return contract::ParseContract(record->value_.text_)
      .contract_.value_or(contract::Contract{});
}

auto PrintDifferences(
    const std::vector<contract::ContractDifference>& differences, bool as_json)
    -> void {
  if (as_json) {
    std::cout << json::serialize(DifferencesToJson(differences)) << '\n';
    return;
  }
  for (const auto& difference : differences) {
    std::cout << "  " << difference.field_ << ": "
              << (difference.before_.empty() ? "(none)" : difference.before_)
              << " -> "
              << (difference.after_.empty() ? "(none)" : difference.after_)
              << '\n';
  }
}

auto PrintOutcome(const contract::ContractChangeRequest& request,
                  const contract::ChangeResult& result, bool as_json) -> int {
  if (!as_json) {
    PrintText(request, result);
    return CodeOf(result.verdict_);
  }
  json::object body{{"verdict", std::string(ToString(result.verdict_))},
                    {"customer", request.customer_.value()},
                    {"change_id", request.change_id_},
                    {"base_revision", request.base_revision_},
                    {"revision", result.revision_},
                    {"reason", result.reason_}};
  if (result.current_) {
    body["current"] = RecordToJson(*result.current_);
  }
  if (result.verdict_ == ChangeVerdict::kConflict && !request.text_.empty()) {
    body["differences"] =
        DifferencesToJson(ConflictDifferences(request, result));
  }
  if (result.verdict_ == ChangeVerdict::kUnknown) {
    body["query"] = QueryCommand(request);
  }
  std::cout << json::serialize(body) << '\n';
  return CodeOf(result.verdict_);
}

auto PrintInvalid(const std::string& faults, bool as_json) -> int {
  if (as_json) {
    std::cout << json::serialize(
                     json::object{{"verdict", "invalid"}, {"faults", faults}})
              << '\n';
  } else {
    std::cerr << faults << (faults.ends_with('\n') ? "" : "\n");
  }
  return kInvalid;
}

}  // namespace baobab::ctl
