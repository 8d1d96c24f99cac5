#pragma once

#include <string>
#include <vector>

namespace baobab::ctl {

/// `contract get CUSTOMER`: prints the accepted contract.
auto RunContractGet(const std::vector<std::string>& arguments) -> int;

/// `contract list`: prints one line per contract.
auto RunContractList(const std::vector<std::string>& arguments) -> int;

/// `contract history CUSTOMER`: prints the recent changes.
auto RunContractHistory(const std::vector<std::string>& arguments) -> int;

/// `contract diff CUSTOMER FILE`: compares the accepted contract with a file.
auto RunContractDiff(const std::vector<std::string>& arguments) -> int;

/// `contract validate FILE`: prints everything that is wrong with a file.
auto RunContractValidate(const std::vector<std::string>& arguments) -> int;

/// `contract put FILE`: changes a contract to what a file says.
auto RunContractPut(const std::vector<std::string>& arguments) -> int;

/// `contract edit CUSTOMER --set KEY=VALUE`: changes single values.
auto RunContractEdit(const std::vector<std::string>& arguments) -> int;

/// `contract delete CUSTOMER`: deletes a contract.
auto RunContractDelete(const std::vector<std::string>& arguments) -> int;

/// `contract query CUSTOMER`: finds out what became of a change.
auto RunContractQuery(const std::vector<std::string>& arguments) -> int;

}  // namespace baobab::ctl
