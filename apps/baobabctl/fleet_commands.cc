#include "fleet_commands.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "admin_client.h"
#include "baobab_operations/operation_key.h"
#include "command_line.h"
#include "daemon_status.h"
#include "exit_code.h"
#include "text_table.h"

namespace baobab::ctl {
namespace {

namespace json = boost::json;
namespace po = boost::program_options;

constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;
constexpr unsigned kNotFound = 404;

/// Reports daemons that gave no usable answer and returns the exit code.
auto ReportFailures(const std::vector<DaemonAnswer>& answers) -> int {
  int code = kSuccess;
  for (const auto& answer : answers) {
    if (answer.status_ != kOk) {
      std::cerr << "baobabctl: daemon at " << answer.address_ << ": "
                << (answer.failure_.empty()
                        ? "status " + std::to_string(answer.status_)
                        : answer.failure_)
                << '\n';
      code = kUnreachable;
    }
  }
  return code;
}

/// Prints the answers as a JSON array, with the address of each daemon.
auto PrintAnswers(const std::vector<DaemonAnswer>& answers) -> void {
  json::array list;
  for (const auto& answer : answers) {
    json::object entry{{"address", answer.address_},
                       {"status", answer.status_}};
    boost::system::error_code error;
    auto body = json::parse(answer.body_, error);
    if (answer.status_ == kOk && !error) {
      entry["answer"] = std::move(body);
    } else {
      entry["failure"] = answer.failure_;
    }
    list.push_back(std::move(entry));
  }
  std::cout << json::serialize(list) << '\n';
}

auto PrintDaemons(const std::vector<DaemonStatus>& daemons) -> void {
  TextTable table({"instance", "state", "failure domain", "uptime s", "running",
                   "waiting", "contracts"});
  for (const auto& daemon : daemons) {
    table.Add({daemon.instance_, daemon.state_, daemon.failure_domain_,
               std::to_string(daemon.uptime_ms_ / 1000),
               std::to_string(daemon.running_), std::to_string(daemon.waiting_),
               daemon.stale_ ? "stale" : "fresh"});
  }
  table.Print(std::cout);
}

auto Names(const std::vector<std::string>& instances, std::size_t all)
    -> std::string {
  if (instances.size() == all) {
    return "all " + std::to_string(all);
  }
  std::string names;
  for (const auto& instance : instances) {
    names += (names.empty() ? "" : ",") + instance;
  }
  return names;
}

auto PrintContracts(const std::vector<DaemonStatus>& daemons) -> void {
  TextTable table(
      {"customer", "active revision", "on", "written", "author", "note"});
  for (const auto& spread : GroupContracts(daemons)) {
    const auto& contract = spread.contract_;
    auto revision =
        contract.revision_ == 0 ? "none" : std::to_string(contract.revision_);
    if (contract.newest_revision_ != contract.revision_) {
      revision +=
          " (" + std::to_string(contract.newest_revision_) + " is faulty)";
    }
    table.Add({contract.customer_ + (contract.deleted_ ? " (deleted)" : ""),
               revision, Names(spread.instances_, daemons.size()),
               FormatTime(contract.written_at_), contract.author_,
               contract.note_});
  }
  table.Print(std::cout);
}

auto PrintTargets(const std::vector<DaemonAnswer>& answers) -> void {
  TextTable table({"seen by", "target", "kind", "address", "failure domain",
                   "state", "models", "own", "others"});
  for (const auto& answer : answers) {
    boost::system::error_code error;
    const auto body = json::parse(answer.body_, error);
    const auto* list = !error && body.is_object()
                           ? body.get_object().if_contains("targets")
                           : nullptr;
    if (list == nullptr || !list->is_array()) {
      continue;
    }
    for (const auto& entry : list->get_array()) {
      const auto text = [&entry](const char* name) -> std::string {
        const auto* value =
            entry.is_object() ? entry.get_object().if_contains(name) : nullptr;
        if (value == nullptr) {
          return "-";
        }
        return value->is_string() ? std::string(value->get_string())
                                  : json::serialize(*value);
      };
      table.Add({answer.address_, text("id"), text("kind"), text("address"),
                 text("failure_domain"), text("state"), text("models"),
                 text("own_requests"), text("other_requests")});
    }
  }
  table.Print(std::cout);
}

}  // namespace

auto RunStatus(const std::vector<std::string>& arguments) -> int {
  CommandLine line("status", {},
                   "Prints the state of each daemon, and which revision of "
                   "each contract is active\non which instances, with author, "
                   "time and note.");
  if (const auto code = line.AddDaemons().Parse(arguments)) {
    return *code;
  }
  const auto answers =
      CallDaemons(FindDaemons(line), {"GET", "/admin/status", {}});
  const int code = ReportFailures(answers);
  if (line.json()) {
    PrintAnswers(answers);
    return code;
  }
  std::vector<DaemonStatus> daemons;
  for (const auto& answer : answers) {
    if (auto status = ParseDaemonStatus(answer.body_)) {
      daemons.push_back(std::move(*status));
    }
  }
  PrintDaemons(daemons);
  std::cout << '\n';
  PrintContracts(daemons);
  return code;
}

auto RunTargets(const std::vector<std::string>& arguments) -> int {
  CommandLine line(
      "targets", {},
      "Prints the targets as each daemon sees them: state, number "
      "of models, own requests,\nand requests of others by the last report.");
  if (const auto code = line.AddDaemons().Parse(arguments)) {
    return *code;
  }
  const auto answers =
      CallDaemons(FindDaemons(line), {"GET", "/admin/targets", {}});
  const int code = ReportFailures(answers);
  if (line.json()) {
    PrintAnswers(answers);
  } else {
    PrintTargets(answers);
  }
  return code;
}

auto RunDrain(const std::vector<std::string>& arguments) -> int {
  CommandLine line(
      "drain", {"ADMIN_ADDRESS"},
      "Begins the graceful stop of the daemon with this operators' "
      "address: it leaves the\nentry answers, finishes its "
      "requests and ends.");
  if (const auto code = line.Parse(arguments)) {
    return *code;
  }
  const auto answer =
      CallDaemons({line.positional(0)}, {"POST", "/admin/drain", {}}).front();
  if (answer.status_ != kAccepted) {
    std::cerr << "baobabctl drain: " << answer.address_ << ": "
              << (answer.failure_.empty() ? answer.body_ : answer.failure_)
              << '\n';
    return kUnreachable;
  }
  std::cout << (line.json() ? answer.body_ : answer.address_ + " is draining")
            << '\n';
  return kSuccess;
}

auto RunOperation(const std::vector<std::string>& arguments) -> int {
  CommandLine line("operation", {"KEY"},
                   "Prints the outcome of a non-idempotent operation, as the "
                   "caller would see it.\nExit code 4 if it is unknown, 1 if "
                   "there is no such operation.");
  line.options().add_options()("address", po::value<std::string>()->required(),
                               "IP:PORT for callers of any daemon")(
      "caller-key", po::value<std::string>(),
      "key of the customer; default BAOBAB_CALLER_KEY");
  if (const auto code = line.Parse(arguments)) {
    return *code;
  }
  if (!OperationKey::Parse(line.positional(0))) {
    std::cerr << "baobabctl operation: not an operation key\n";
    return kUsageError;
  }
  const char* variable = std::getenv("BAOBAB_CALLER_KEY");
  const std::string key = line.Has("caller-key") || variable == nullptr
                              ? line.Text("caller-key")
                              : variable;
  const auto answer = CallDaemons({line.Text("address")},
                                  {"GET",
                                   "/v1/operations/" + line.positional(0),
                                   {{"Authorization", "Bearer " + key}}})
                          .front();
  if (answer.status_ == 0) {
    return ReportFailures({answer});
  }
  std::cout << answer.body_ << '\n';
  if (answer.status_ == kNotFound) {
    return kFailure;
  }
  if (answer.body_.find(R"("outcome":"unknown")") != std::string::npos) {
    return kUnknown;
  }
  return answer.status_ == kOk ? kSuccess : kFailure;
}

}  // namespace baobab::ctl
