/// Checks recorded histories (docs/traces.md) against the sequential models of
/// contracts and operations. Exit codes: 0 all linearizable, 1 a violation or
/// an undecided history, 2 bad arguments or a malformed file.

#include <cstddef>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "baobab_base/step_error.h"
#include "baobab_history/baobab_history.h"
#include "file_arguments.h"

namespace {

using baobab::history::Interval;
using baobab::history::LinearizabilityChecker;
using baobab::history::RecordedHistories;
using baobab::history::Verdict;

/// Histories checked and found wrong or undecided.
struct Totals {
  std::size_t histories_ = 0;
  std::size_t operations_ = 0;
  std::size_t violations_ = 0;
  std::size_t undecided_ = 0;
};

template <class Model>
auto CheckAll(
    const std::string& kind,
    const std::map<std::string,
                   std::vector<Interval<typename Model::Operation>>>& all,
    Totals& totals) -> void {
  for (const auto& [name, history] : all) {
    ++totals.histories_;
    totals.operations_ += history.size();
    const auto verdict = LinearizabilityChecker<Model>().Check(history);
    if (verdict == Verdict::kNotLinearizable) {
      ++totals.violations_;
      std::cout << "violation: " << kind << ' ' << name << " ("
                << history.size() << " operations) has no valid order\n";
    } else if (verdict == Verdict::kTooLarge) {
      ++totals.undecided_;
      std::cout << "undecided: " << kind << ' ' << name << " ("
                << history.size() << " operations) exceeds the search bound\n";
    }
  }
}

auto CheckFile(const std::string& path, Totals& totals) -> void {
  std::ifstream input(path);
  if (!input) {
    throw baobab::StepError("history.open", path, "cannot be read");
  }
  const RecordedHistories histories =
      baobab::history::ReadHistories(input, path);
  CheckAll<baobab::history::ContractModel>("contract", histories.contracts_,
                                           totals);
  CheckAll<baobab::history::AtMostOnceModel>("operation", histories.operations_,
                                             totals);
}

auto Main(int argc, char** argv) -> int {
  const auto files = baobab::tools::ReadFileArguments(
      argc, argv, "usage: baobab_check FILE...");
  if (files.empty()) {
    return 0;
  }
  Totals totals;
  for (const auto& file : files) {
    CheckFile(file, totals);
  }
  std::cout << "histories=" << totals.histories_
            << " operations=" << totals.operations_
            << " violations=" << totals.violations_
            << " undecided=" << totals.undecided_ << '\n';
  return totals.violations_ + totals.undecided_ == 0 && totals.histories_ > 0
             ? 0
             : 1;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  try {
    return Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "baobab_check: " << error.what() << '\n';
    return 2;
  }
}
