#include "daemon_status.h"

#include <boost/json.hpp>
#include <chrono>

namespace baobab::ctl {
namespace {

namespace json = boost::json;

auto Text(const json::object& object, json::string_view name) -> std::string {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

auto Number(const json::object& object, json::string_view name)
    -> std::int64_t {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_number()) {
    return 0;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  return error ? 0 : number;
}

auto Flag(const json::object& object, json::string_view name) -> bool {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

auto ToContract(const json::object& object) -> ActiveContract {
  ActiveContract contract;
  contract.customer_ = Text(object, "customer");
  contract.revision_ = Number(object, "active_revision");
  contract.newest_revision_ = Number(object, "newest_revision");
  contract.deleted_ = Flag(object, "deleted");
  contract.author_ = Text(object, "author");
  contract.written_at_ =
      WallTime(std::chrono::milliseconds(Number(object, "written_at_ms")));
  contract.note_ = Text(object, "note");
  return contract;
}

}  // namespace

auto ParseDaemonStatus(std::string_view body) -> std::optional<DaemonStatus> {
  boost::system::error_code error;
  const auto value = json::parse({body.data(), body.size()}, error);
  if (error || !value.is_object() ||
      Text(value.get_object(), "instance").empty()) {
    return std::nullopt;
  }
  const auto& object = value.get_object();
  DaemonStatus status;
  status.instance_ = Text(object, "instance");
  status.state_ = Text(object, "state");
  status.failure_domain_ = Text(object, "failure_domain");
  status.uptime_ms_ = Number(object, "uptime_ms");
  status.waiting_ = Number(object, "waiting_requests");
  status.running_ = Number(object, "running_requests");
  status.stale_ = Flag(object, "contracts_stale");
  const auto* contracts = object.if_contains("contracts");
  if (contracts != nullptr && contracts->is_array()) {
    for (const auto& entry : contracts->get_array()) {
      if (const auto* contract = entry.if_object()) {
        status.contracts_.push_back(ToContract(*contract));
      }
    }
  }
  return status;
}

auto GroupContracts(const std::vector<DaemonStatus>& daemons)
    -> std::vector<ContractSpread> {
  std::map<std::pair<std::string, Revision>, ContractSpread> groups;
  for (const auto& daemon : daemons) {
    for (const auto& contract : daemon.contracts_) {
      auto& group = groups[{contract.customer_, contract.revision_}];
      group.contract_ = contract;
      group.instances_.push_back(daemon.instance_);
    }
  }
  std::vector<ContractSpread> spreads;
  spreads.reserve(groups.size());
  for (auto& [key, group] : groups) {
    spreads.push_back(std::move(group));
  }
  return spreads;
}

}  // namespace baobab::ctl
