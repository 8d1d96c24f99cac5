#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <exception>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "baobab_base/step_error.h"
#include "load_generator.h"

namespace baobab::load {
namespace {

namespace json = boost::json;
namespace po = boost::program_options;

constexpr int kBrokenAnswers = 1;
constexpr int kNothingServed = 3;  ///< No request was answered whole.
constexpr int kUsageError = 2;
constexpr int kTooFewServed = 4;  ///< Fewer whole answers than --min-whole.

auto Options() -> po::options_description {
  po::options_description options(
      "baobab_load: sends an open-loop load and checks every answer.\n"
      "Exit code 1 if an answer was not whole or not its own, 2 for a wrong\n"
      "command line, 3 if nothing was answered whole, 4 if less than\n"
      "--min-whole was. Options");
  options.add_options()("help", "show this text")(
      "daemon", po::value<std::vector<std::string>>()->required(),
      "IP:PORT for callers, asked for the entry addresses; repeatable")(
      "key", po::value<std::string>()->required(), "caller key")(
      "model", po::value<std::vector<std::string>>()->required(),
      "model; repeatable")("rate", po::value<double>()->default_value(100),
                           "requests per second")(
      "seconds", po::value<double>()->default_value(10), "duration")(
      "mix", po::value<std::string>()->default_value("5:1:1:3"),
      "shares of short, long, booking and lookup")(
      "booking-service", po::value<std::string>()->default_value("slots"))(
      "lookup-service", po::value<std::string>()->default_value("board"))(
      "min-whole", po::value<double>()->default_value(0),
      "part of the requests that must be answered whole, 0 to 1")(
      "seed", po::value<std::uint64_t>()->default_value(1))("json",
                                                            "print JSON");
  return options;
}

auto ReadMix(const std::string& text) -> std::array<double, kWorkKinds> {
  std::array<double, kWorkKinds> mix{};
  std::istringstream stream(text);
  std::string part;
  for (auto& share : mix) {
    if (!std::getline(stream, part, ':')) {
      throw StepError("mix", text, "four numbers separated by ':' are needed");
    }
    share = std::stod(part);
  }
  return mix;
}

auto ReadSettings(const po::variables_map& values) -> LoadSettings {
  LoadSettings settings;
  for (const auto& address : values["daemon"].as<std::vector<std::string>>()) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      throw StepError("daemon", address, "not an IP address and port");
    }
    settings.daemons_.push_back(*endpoint);
  }
  settings.key_ = values["key"].as<std::string>();
  settings.models_ = values["model"].as<std::vector<std::string>>();
  settings.rate_ = values["rate"].as<double>();
  settings.duration_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(values["seconds"].as<double>()));
  settings.mix_ = ReadMix(values["mix"].as<std::string>());
  settings.booking_service_ = values["booking-service"].as<std::string>();
  settings.lookup_service_ = values["lookup-service"].as<std::string>();
  settings.seed_ = values["seed"].as<std::uint64_t>();
  return settings;
}

auto Milliseconds(Duration time) -> double {
  constexpr double kPerMillisecond = 1000;
  return static_cast<double>(time.count()) / kPerMillisecond;
}

auto PrintTable(const LoadGenerator& generator) -> void {
  std::cout << "kind        sent    whole  not_run  unknown   broken"
               "   p50 ms   p95 ms   p99 ms  first token p95 ms\n";
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    const auto& result = generator.results()[kind];
    std::cout << std::left << std::setw(8) << kWorkKindNames[kind] << std::right
              << std::setw(8) << result.sent_;
    for (const auto count : result.verdicts_) {
      std::cout << std::setw(9) << count;
    }
    std::cout << std::fixed << std::setprecision(1);
    for (const double q : {0.5, 0.95, 0.99}) {
      std::cout << std::setw(9) << Milliseconds(result.latency_.Quantile(q));
    }
    if (result.first_token_.count() > 0) {
      std::cout << std::setw(12)
                << Milliseconds(result.first_token_.Quantile(0.95));
    }
    std::cout << '\n';
  }
  for (const auto& [daemon, count] : generator.shares()) {
    std::cout << "sent to " << daemon.ToString() << ": " << count << '\n';
  }
}

auto PrintJson(const LoadGenerator& generator) -> void {
  json::object kinds;
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    const auto& result = generator.results()[kind];
    json::object entry{{"sent", result.sent_},
                       {"whole", result.verdicts_[0]},
                       {"not_run", result.verdicts_[1]},
                       {"unknown", result.verdicts_[2]},
                       {"broken", result.verdicts_[3]}};
    for (const auto& [name, q] :
         {std::pair{"p50_ms", 0.5}, {"p95_ms", 0.95}, {"p99_ms", 0.99}}) {
      entry[name] = Milliseconds(result.latency_.Quantile(q));
    }
    entry["first_token_p95_ms"] =
        Milliseconds(result.first_token_.Quantile(0.95));
    kinds[std::string(kWorkKindNames[kind])] = std::move(entry);
  }
  std::cout << json::serialize(kinds) << '\n';
}

auto Run(const po::variables_map& values) -> int {
  boost::asio::io_context context(1);
  LoadGenerator generator(context, ReadSettings(values));
  generator.Start();
  context.run();
  if (values.count("json") != 0) {
    PrintJson(generator);
  } else {
    PrintTable(generator);
  }
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;
  std::uint64_t broken = 0;
  for (const auto& result : generator.results()) {
    sent += result.sent_;
    whole += result.verdicts_[static_cast<std::size_t>(Verdict::kWhole)];
    broken += result.verdicts_[static_cast<std::size_t>(Verdict::kBroken)];
  }
  if (whole == 0) {
    return kNothingServed;
  }
  if (broken > 0) {
    return kBrokenAnswers;
  }
  const bool enough =
      static_cast<double>(whole) >=
      values["min-whole"].as<double>() * static_cast<double>(sent);
  return enough ? 0 : kTooFewServed;
}

}  // namespace
}  // namespace baobab::load

auto main(int argc, char** argv) -> int {
  try {
    const auto options = baobab::load::Options();
    boost::program_options::variables_map values;
    boost::program_options::store(
        boost::program_options::parse_command_line(argc, argv, options),
        values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    boost::program_options::notify(values);
    return baobab::load::Run(values);
  } catch (const std::exception& error) {
    std::cerr << "baobab_load: " << error.what() << '\n';
    return baobab::load::kUsageError;
  }
}
