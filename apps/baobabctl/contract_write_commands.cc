#include <boost/program_options.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>

#include "baobab_base/step_error.h"
#include "command_line.h"
#include "contract_commands.h"
#include "contract_file.h"
#include "contract_output.h"
#include "exit_code.h"
#include "fleet_fit.h"
#include "store_session.h"

namespace baobab::ctl {
namespace {

namespace po = boost::program_options;

using contract::ContractChangeRequest;

/// Returns 128 random bits in hex.
auto NewChangeId() -> std::string {
  constexpr auto kDigits = "0123456789abcdef";
  constexpr int kLength = 32;
  std::random_device device;
  std::uniform_int_distribution<int> digit(0, 15);
  std::string id;
  for (int i = 0; i < kLength; ++i) {
    id += kDigits[digit(device)];
  }
  return id;
}

auto AddChangeOptions(CommandLine& line) -> void {
  line.AddStore().options().add_options()("author", po::value<std::string>(),
                                          "who changes it; default USER")(
      "note", po::value<std::string>(),
      "why; default the note of the contract")(
      "base", po::value<std::int64_t>(),
      "revision that the edit started from; 0: there is no contract yet");
}

/// Returns the author, or an empty string after an error message.
auto AuthorOf(const CommandLine& line) -> std::string {
  const char* user = std::getenv("USER");
  auto author =
      line.Has("author") || user == nullptr ? line.Text("author") : user;
  if (author.empty()) {
    std::cerr << "baobabctl: --author is required, USER is not set\n";
  }
  return author;
}

auto MakeRequest(const CommandLine& line, const std::string& customer,
                 Revision base) -> ContractChangeRequest {
  ContractChangeRequest request;
  request.customer_ = CustomerId(customer);
  request.change_id_ = NewChangeId();
  request.base_revision_ = base;
  request.author_ = AuthorOf(line);
  request.note_ = line.Text("note");
  request.written_at_ = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  return request;
}

/// Validates `text` and writes it on top of `base`.
auto Write(const CommandLine& line, StoreSession& session,
           const std::string& text, Revision base) -> int {
  const auto parse = contract::ParseContract(text);
  if (!parse.contract_) {
    return PrintInvalid(contract::FormatFaults(parse.faults_), line.json());
  }
  auto request = MakeRequest(line, parse.contract_->customer_.value(), base);
  if (request.author_.empty()) {
    return kUsageError;
  }
  try {
    const auto misfit = DescribeMisfit(session, *parse.contract_);
    if (!misfit.empty()) {
      return PrintInvalid(misfit, line.json());
    }
  } catch (const StepError& error) {
    contract::ChangeResult result;
    result.verdict_ = contract::ChangeVerdict::kNotAccepted;
    result.reason_ = std::string(error.what()) + "; nothing was sent";
    return PrintOutcome(request, result, line.json());
  }
  request.text_ = text;
  request.note_ = line.Has("note") ? request.note_ : parse.contract_->note_;
  return PrintOutcome(request, session.RunChange(request), line.json());
}

}  // namespace

auto RunContractPut(const std::vector<std::string>& arguments) -> int {
  CommandLine line(
      "contract put", {"FILE"},
      "Changes the contract of the customer named in FILE (- for standard "
      "input).\nThe change is accepted only if the contract still has the "
      "revision that the\nedit started from: that of --base, or of the "
      "revision line written by\n`contract get`, or 0 for a new contract.");
  AddChangeOptions(line);
  if (const auto code = line.Parse(arguments)) {
    return *code;
  }
  const auto file = ReadContractFile(ReadWholeFile(line.positional(0)));
  StoreSession session(line.StoreAddresses(), line.time_limit());
  return Write(line, session, file.text_,
               line.Number("base", file.base_.value_or(0)));
}

auto RunContractEdit(const std::vector<std::string>& arguments) -> int {
  CommandLine line(
      "contract edit", {"CUSTOMER"},
      "Changes single values of the accepted contract, for example "
      "--set weight=4\n--set limits.requests_per_second=300. "
      "Comments in the document are not kept;\nuse `contract get` "
      "and `contract put` to keep them or to change models.");
  AddChangeOptions(line);
  line.options().add_options()("set", po::value<std::vector<std::string>>(),
                               "KEY=VALUE with a TOML value; repeatable");
  if (const auto code = line.Parse(arguments)) {
    return *code;
  }
  StoreSession session(line.StoreAddresses(), line.time_limit());
  const auto record = session.ReadContract(CustomerId(line.positional(0)));
  if (!record || record->value_.deleted_ || line.List("set").empty()) {
    std::cerr << "baobabctl contract edit: "
              << (record ? "--set is required\n" : "there is no contract\n");
    return record ? kUsageError : kFailure;
  }
  const auto text = ApplyAssignments(record->value_.text_, line.List("set"));
  const auto after = contract::ParseContract(text);
  if (!after.contract_) {
    return PrintInvalid(contract::FormatFaults(after.faults_), line.json());
  }
  if (!line.json()) {
    PrintDifferences(
        contract::DiffContracts(ParseOrEmpty(record), *after.contract_), false);
  }
  return Write(line, session, contract::CanonicalText(*after.contract_),
               line.Number("base", record->revision_));
}

auto RunContractDelete(const std::vector<std::string>& arguments) -> int {
  CommandLine line("contract delete", {"CUSTOMER"},
                   "Deletes a contract. --base is required: the revision that "
                   "was looked at.");
  AddChangeOptions(line);
  if (const auto code = line.Parse(arguments)) {
    return *code;
  }
  if (!line.Has("base")) {
    std::cerr << "baobabctl contract delete: --base is required\n";
    return kUsageError;
  }
  auto request = MakeRequest(line, line.positional(0), line.Number("base", 0));
  if (request.author_.empty()) {
    return kUsageError;
  }
  request.deleted_ = true;
  StoreSession session(line.StoreAddresses(), line.time_limit());
  return PrintOutcome(request, session.RunChange(request), line.json());
}

auto RunContractQuery(const std::vector<std::string>& arguments) -> int {
  CommandLine line("contract query", {"CUSTOMER"},
                   "Finds out what became of a change whose outcome was "
                   "unknown. Writes nothing.");
  line.AddStore().options().add_options()("change-id",
                                          po::value<std::string>()->required(),
                                          "id that the change printed")(
      "base", po::value<std::int64_t>()->required(), "its base revision");
  if (const auto code = line.Parse(arguments)) {
    return *code;
  }
  ContractChangeRequest request;
  request.customer_ = CustomerId(line.positional(0));
  request.change_id_ = line.Text("change-id");
  request.base_revision_ = line.Number("base", 0);
  request.query_only_ = true;
  StoreSession session(line.StoreAddresses(), line.time_limit());
  return PrintOutcome(request, session.RunChange(request), line.json());
}

}  // namespace baobab::ctl
