#include <boost/json.hpp>
#include <iostream>

#include "command_line.h"
#include "contract_commands.h"
#include "contract_file.h"
#include "contract_output.h"
#include "exit_code.h"
#include "fleet_fit.h"
#include "store_session.h"
#include "text_table.h"

namespace baobab::ctl {
namespace {

namespace json = boost::json;

auto NoContract(const CommandLine& line) -> int {
  std::cerr << "baobabctl: customer " << line.positional(0)
            << " has no contract\n";
  return kFailure;
}

auto PrintHistoryTable(const contract::ContractRecord& record) -> void {
  const auto& value = record.value_;
  TextTable table({"revision", "author", "text sha256", "change"});
  table.Add({std::to_string(record.revision_), value.author_,
             contract::Sha256Hex(value.text_).substr(0, 12), value.change_id_});
  for (const auto& change : value.recent_changes_) {
    table.Add({std::to_string(change.revision_), change.author_,
               change.text_digest_.substr(0, 12), change.change_id_});
  }
  std::cout << "current: " << FormatTime(value.written_at_) << " by "
            << value.author_ << (value.deleted_ ? " (deleted)" : "")
            << ", note: " << value.note_ << "\n\n";
  table.Print(std::cout);
}

}  // namespace

auto RunContractGet(const std::vector<std::string>& arguments) -> int {
  CommandLine line("contract get", {"CUSTOMER"},
                   "Prints the accepted contract under lines that give its "
                   "revision, author,\ntime and note. `contract put` takes the "
                   "output back and uses the revision line.");
  if (const auto code = line.AddStore().Parse(arguments)) {
    return *code;
  }
  StoreSession session(line.StoreAddresses(), line.time_limit());
  const auto record = session.ReadContract(CustomerId(line.positional(0)));
  if (!record || record->value_.deleted_) {
    return NoContract(line);
  }
  std::cout << (line.json() ? json::serialize(RecordToJson(*record)) + "\n"
                            : WriteContractFile(*record));
  return kSuccess;
}

auto RunContractList(const std::vector<std::string>& arguments) -> int {
  CommandLine line(
      "contract list", {},
      "Prints one line per contract in the configuration service.");
  if (const auto code = line.AddStore().Parse(arguments)) {
    return *code;
  }
  StoreSession session(line.StoreAddresses(), line.time_limit());
  json::array list;
  TextTable table({"customer", "revision", "written", "author", "note"});
  for (const auto& record : session.ReadContracts()) {
    if (record.value_.deleted_) {
      continue;
    }
    list.push_back(RecordToJson(record));
    table.Add({record.customer_.value(), std::to_string(record.revision_),
               FormatTime(record.value_.written_at_), record.value_.author_,
               record.value_.note_});
  }
  if (line.json()) {
    std::cout << json::serialize(list) << '\n';
  } else {
    table.Print(std::cout);
  }
  return kSuccess;
}

auto RunContractHistory(const std::vector<std::string>& arguments) -> int {
  CommandLine line(
      "contract history", {"CUSTOMER"},
      "Prints the changes of a contract, newest first: the current "
      "one and up to 64 before it.");
  if (const auto code = line.AddStore().Parse(arguments)) {
    return *code;
  }
  StoreSession session(line.StoreAddresses(), line.time_limit());
  const auto record = session.ReadContract(CustomerId(line.positional(0)));
  if (!record) {
    return NoContract(line);
  }
  if (line.json()) {
    std::cout << json::serialize(HistoryToJson(*record)) << '\n';
  } else {
    PrintHistoryTable(*record);
  }
  return kSuccess;
}

auto RunContractDiff(const std::vector<std::string>& arguments) -> int {
  CommandLine line("contract diff", {"CUSTOMER", "FILE"},
                   "Compares the accepted contract with FILE (- for standard "
                   "input). Exit code 1 if they differ.");
  if (const auto code = line.AddStore().Parse(arguments)) {
    return *code;
  }
  const auto file = ReadContractFile(ReadWholeFile(line.positional(1)));
  const auto after = contract::ParseContract(file.text_);
  if (!after.contract_) {
    std::cerr << contract::FormatFaults(after.faults_);
    return kInvalid;
  }
  StoreSession session(line.StoreAddresses(), line.time_limit());
  const auto record = session.ReadContract(CustomerId(line.positional(0)));
  const auto before = ParseOrEmpty(record);
  const auto differences = contract::DiffContracts(before, *after.contract_);
  PrintDifferences(differences, line.json());
  return differences.empty() ? kSuccess : kFailure;
}

auto RunContractValidate(const std::vector<std::string>& arguments) -> int {
  CommandLine line("contract validate", {"FILE"},
                   "Prints everything that is wrong with FILE (- for standard "
                   "input).");
  line.options().add_options()(
      "fit",
      "also check that the models fit on the recorded servers beside "
      "those of the other contracts; reads the configuration service");
  if (const auto code = line.AddStore().Parse(arguments)) {
    return *code;
  }
  const auto file = ReadContractFile(ReadWholeFile(line.positional(0)));
  const auto parse = contract::ParseContract(file.text_);
  std::string faults = contract::FormatFaults(parse.faults_);
  if (parse.contract_ && line.Has("fit")) {
    StoreSession session(line.StoreAddresses(), line.time_limit());
    faults = DescribeMisfit(session, *parse.contract_);
  }
  if (line.json()) {
    std::cout << json::serialize(json::object{{"valid", faults.empty()},
                                              {"faults", faults}})
              << '\n';
  } else {
    std::cout << (faults.empty() ? "valid\n" : faults);
  }
  return faults.empty() ? kSuccess : kInvalid;
}

}  // namespace baobab::ctl
