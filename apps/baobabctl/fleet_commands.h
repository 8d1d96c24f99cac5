#pragma once

#include <string>
#include <vector>

namespace baobab::ctl {

/// `status`: the state of each daemon and the contracts active on it.
auto RunStatus(const std::vector<std::string>& arguments) -> int;

/// `instances`: the platform's instance list.
auto RunInstances(const std::vector<std::string>& arguments) -> int;

/// `targets`: the targets as each daemon sees them.
auto RunTargets(const std::vector<std::string>& arguments) -> int;

/// `models`: models of contracts and the servers recorded to hold them.
auto RunModels(const std::vector<std::string>& arguments) -> int;

/// `drain ADMIN_ADDRESS`: begins the graceful stop of one daemon.
auto RunDrain(const std::vector<std::string>& arguments) -> int;

/// `operation KEY`: the outcome of a non-idempotent operation.
auto RunOperation(const std::vector<std::string>& arguments) -> int;

/// `report burn`: burn rates over all daemons.
auto RunReportBurn(const std::vector<std::string>& arguments) -> int;

}  // namespace baobab::ctl
