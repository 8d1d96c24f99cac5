#include "command_line.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <utility>

#include "exit_code.h"

namespace baobab::ctl {

namespace po = boost::program_options;

namespace {

constexpr std::int64_t kDefaultTimeLimitMs = 10000;

auto SplitAtCommas(const char* text) -> std::vector<std::string> {
  std::vector<std::string> parts;
  std::istringstream stream(text == nullptr ? "" : text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

CommandLine::CommandLine(std::string name, std::vector<std::string> positionals,
                         std::string about)
    : name_(std::move(name)),
      positionals_(std::move(positionals)),
      about_(std::move(about)),
      options_("Options") {
  options_.add_options()("help", "show this text")("json", "print JSON");
}

auto CommandLine::AddStore() -> CommandLine& {
  options_.add_options()("store", po::value<std::vector<std::string>>(),
                         "IP:PORT of the configuration service; repeatable; "
                         "default BAOBAB_STORE, then 127.0.0.1:2379")(
      "time-limit-ms", po::value<std::int64_t>(),
      "time for retries, default 10000");
  return *this;
}

auto CommandLine::AddDaemons() -> CommandLine& {
  options_.add_options()("admin", po::value<std::vector<std::string>>(),
                         "IP:PORT for operators of a daemon; repeatable; "
                         "default BAOBAB_ADMIN, then the instance list")(
      "instances", po::value<std::string>(),
      "IP:PORT of the instance list; default BAOBAB_INSTANCES");
  return *this;
}

auto CommandLine::PrintHelp() const -> void {
  std::cout << "Usage: baobabctl " << name_;
  for (const auto& positional : positionals_) {
    std::cout << ' ' << positional;
  }
  std::cout << " [options]\n\n" << about_ << "\n\n" << options_;
}

auto CommandLine::Parse(const std::vector<std::string>& arguments)
    -> std::optional<int> {
  po::options_description all;
  all.add(options_).add_options()("positional",
                                  po::value<std::vector<std::string>>());
  po::positional_options_description places;
  places.add("positional", -1);
  try {
    po::store(po::command_line_parser(arguments)
                  .options(all)
                  .positional(places)
                  .run(),
              values_);
    if (Has("help")) {
      PrintHelp();
      return kSuccess;
    }
    po::notify(values_);
  } catch (const po::error& error) {
    std::cerr << "baobabctl " << name_ << ": " << error.what() << '\n';
    return kUsageError;
  }
  given_ = List("positional");
  if (given_.size() != positionals_.size()) {
    std::cerr << "baobabctl " << name_ << ": " << positionals_.size()
              << " arguments are needed, " << given_.size()
              << " were given; see --help\n";
    return kUsageError;
  }
  return std::nullopt;
}

auto CommandLine::json() const -> bool { return Has("json"); }

auto CommandLine::Text(const std::string& name) const -> std::string {
  return Has(name) ? values_[name].as<std::string>() : std::string();
}

auto CommandLine::List(const std::string& name) const
    -> std::vector<std::string> {
  return Has(name) ? values_[name].as<std::vector<std::string>>()
                   : std::vector<std::string>();
}

auto CommandLine::Number(const std::string& name, std::int64_t otherwise) const
    -> std::int64_t {
  return Has(name) ? values_[name].as<std::int64_t>() : otherwise;
}

auto CommandLine::time_limit() const -> Duration {
  return std::chrono::milliseconds(
      Number("time-limit-ms", kDefaultTimeLimitMs));
}

auto CommandLine::StoreAddresses() const -> std::vector<std::string> {
  auto addresses = List("store");
  if (addresses.empty()) {
    addresses = SplitAtCommas(std::getenv("BAOBAB_STORE"));
  }
  return addresses.empty() ? std::vector<std::string>{"127.0.0.1:2379"}
                           : addresses;
}

auto CommandLine::AdminAddresses() const -> std::vector<std::string> {
  auto addresses = List("admin");
  return addresses.empty() ? SplitAtCommas(std::getenv("BAOBAB_ADMIN"))
                           : addresses;
}

auto CommandLine::InstanceListAddress() const -> std::string {
  const char* variable = std::getenv("BAOBAB_INSTANCES");
  return Has("instances") || variable == nullptr ? Text("instances") : variable;
}

}  // namespace baobab::ctl
