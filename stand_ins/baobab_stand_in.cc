#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins/engine_server.h"
#include "stand_ins/simple_servers.h"
#include "stand_ins/store_server.h"

namespace baobab::stand_in {
namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;

using Milliseconds = std::chrono::milliseconds;

auto CommonOptions(const std::string& command) -> po::options_description {
  po::options_description options("baobab_stand_in " + command);
  options.add_options()("help", "show this text")(
      "address", po::value<std::string>()->default_value("127.0.0.1"),
      "address to listen on")("port",
                              po::value<std::uint16_t>()->default_value(0),
                              "first port; 0 takes a free one");
  return options;
}

auto Parse(const po::options_description& options,
           const std::vector<std::string>& arguments) -> po::variables_map {
  po::variables_map values;
  po::store(po::command_line_parser(arguments).options(options).run(), values);
  po::notify(values);
  return values;
}

auto Announce(const std::string& what, std::uint16_t port) -> void {
  std::cout << what << " port=" << port << std::endl;
}

auto RunUntilSignal(asio::io_context& context) -> int {
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](const boost::system::error_code& /*error*/,
                                int /*signal*/) { context.stop(); });
  context.run();
  return 0;
}

auto RunStore(const std::vector<std::string>& arguments) -> int {
  auto options = CommonOptions("store");
  StoreLimits limits;
  options.add_options()(
      "writes-per-second",
      po::value(&limits.writes_per_second_)->default_value(400))(
      "reads-per-second",
      po::value(&limits.reads_per_second_)->default_value(2000));
  const auto values = Parse(options, arguments);
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  asio::io_context context(1);
  const StoreServer server(context, values["address"].as<std::string>(),
                           values["port"].as<std::uint16_t>(), limits);
  Announce("store", server.port());
  return RunUntilSignal(context);
}

auto AddEngineOptions(po::options_description& options) -> void {
  options.add_options()("name",
                        po::value<std::string>()->default_value("engine"),
                        "name prefix; engines are numbered from 1")(
      "engines", po::value<int>()->default_value(1),
      "number of engines, on successive ports")(
      "memory-mb", po::value<std::int64_t>()->default_value(80000))(
      "slots", po::value<std::size_t>()->default_value(16))(
      "token-us", po::value<std::int64_t>()->default_value(10000),
      "time per token of one sequence, in microseconds")(
      "prefill-us", po::value<std::int64_t>()->default_value(100),
      "time per prompt token, in microseconds")(
      "report-lag-ms", po::value<std::int64_t>()->default_value(500))(
      "ignore-fence", "do not reject orders with a stale fencing number")(
      "cache-event-loss", po::value<double>()->default_value(0),
      "part of the cache events that are lost, 0 to 1")(
      "loads-per-second", po::value<double>()->default_value(1.4),
      "rate of the weight store, shared by all engines")(
      "preload", po::value<std::vector<std::string>>()->default_value({}, ""),
      "MODEL=MB to put into every engine at the start; repeatable")(
      "seed", po::value<std::uint64_t>()->default_value(1));
}

auto ReadEngineSettings(const po::variables_map& values) -> EngineSettings {
  EngineSettings settings;
  settings.memory_mb_ = values["memory-mb"].as<std::int64_t>();
  settings.honours_fence_ = values.count("ignore-fence") == 0;
  settings.report_lag_ =
      Milliseconds(values["report-lag-ms"].as<std::int64_t>());
  settings.batch_.slots_ = values["slots"].as<std::size_t>();
  settings.batch_.token_time_ = Duration(values["token-us"].as<std::int64_t>());
  settings.batch_.prefill_token_time_ =
      Duration(values["prefill-us"].as<std::int64_t>());
  settings.cache_.event_loss_ = values["cache-event-loss"].as<double>();
  settings.seed_ = values["seed"].as<std::uint64_t>();
  return settings;
}

auto ReadPreload(const po::variables_map& values)
    -> std::map<std::string, std::int64_t> {
  std::map<std::string, std::int64_t> preload;
  for (const auto& entry : values["preload"].as<std::vector<std::string>>()) {
    const auto equals = entry.rfind('=');
    if (equals == std::string::npos) {
      throw po::error("--preload needs MODEL=MB, got " + entry);
    }
    preload[entry.substr(0, equals)] = std::stoll(entry.substr(equals + 1));
  }
  return preload;
}

auto RunEngines(const std::vector<std::string>& arguments) -> int {
  auto options = CommonOptions("engine");
  AddEngineOptions(options);
  const auto values = Parse(options, arguments);
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  WeightRates rates;
  rates.loads_per_second_ = values["loads-per-second"].as<double>();
  WeightStore weights(rates);
  asio::io_context context(1);
  std::vector<std::unique_ptr<EngineServer>> servers;
  const auto port = values["port"].as<std::uint16_t>();
  for (int i = 0; i < values["engines"].as<int>(); ++i) {
    auto settings = ReadEngineSettings(values);
    settings.name_ =
        values["name"].as<std::string>() + "-" + std::to_string(i + 1);
    servers.push_back(std::make_unique<EngineServer>(
        context, values["address"].as<std::string>(),
        static_cast<std::uint16_t>(port == 0 ? 0 : port + i), settings, weights,
        ReadPreload(values)));
    Announce(settings.name_, servers.back()->port());
  }
  return RunUntilSignal(context);
}

auto RunService(const std::vector<std::string>& arguments) -> int {
  auto options = CommonOptions("service");
  options.add_options()("delay-ms", po::value<std::int64_t>()->default_value(5),
                        "time that each operation takes");
  const auto values = Parse(options, arguments);
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  asio::io_context context(1);
  const auto server =
      MakeServiceServer(context, values["address"].as<std::string>(),
                        values["port"].as<std::uint16_t>(),
                        Milliseconds(values["delay-ms"].as<std::int64_t>()));
  Announce("service", server->port());
  return RunUntilSignal(context);
}

auto RunInstances(const std::vector<std::string>& arguments) -> int {
  auto options = CommonOptions("instances");
  options.add_options()("lag-ms",
                        po::value<std::int64_t>()->default_value(2000),
                        "time until a change becomes visible")(
      "list", po::value<std::string>(), "file with a JSON array of instances");
  const auto values = Parse(options, arguments);
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  std::string initial = "[]";
  if (values.count("list") != 0) {
    std::ifstream file(values["list"].as<std::string>());
    initial.assign(std::istreambuf_iterator<char>(file), {});
  }
  asio::io_context context(1);
  const auto server = MakeInstanceServer(
      context, values["address"].as<std::string>(),
      values["port"].as<std::uint16_t>(),
      Milliseconds(values["lag-ms"].as<std::int64_t>()), initial);
  Announce("instances", server->port());
  return RunUntilSignal(context);
}

auto Run(const std::vector<std::string>& arguments) -> int {
  const std::map<std::string, int (*)(const std::vector<std::string>&)>
      commands = {{"store", RunStore},
                  {"engine", RunEngines},
                  {"service", RunService},
                  {"instances", RunInstances}};
  const auto found =
      arguments.empty() ? commands.end() : commands.find(arguments.front());
  if (found == commands.end()) {
    std::cerr << "usage: baobab_stand_in store|engine|service|instances "
                 "[options]; --help after a command lists its options\n";
    return 2;
  }
  return found->second({arguments.begin() + 1, arguments.end()});
}

}  // namespace
}  // namespace baobab::stand_in

auto main(int argc, char** argv) -> int {
  try {
    return baobab::stand_in::Run({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "baobab_stand_in: " << error.what() << '\n';
    return 1;
  }
}
