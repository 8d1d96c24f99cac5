#include "settings.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include "settings_reader.h"

namespace baobab {
namespace {

constexpr std::int64_t kHour = 3'600'000;  // ms

/// One TOML document being read into Settings.
class SettingsParser {
 public:
  SettingsParser(const toml::table& root, SettingsErrors& errors)
      : root_(root), errors_(errors) {}

  auto Parse() -> Settings;

 private:
  auto Open(std::string_view name) -> TableReader;
  auto ReadInstance() -> void;
  auto ReadCaller() -> void;
  auto ReadPeers() -> void;
  auto ReadPlatform() -> void;
  auto ReadAdmission() -> void;
  auto ReadTargetIo() -> void;
  auto ReadTargets() -> void;
  auto ReadTarget(const toml::node& node, std::size_t index) -> void;
  auto ReadPeer(const toml::node& node, std::size_t index) -> void;

  template <class Read>
  auto ForEachTable(std::string_view key, Read&& read) -> void;

  const toml::table& root_;
  SettingsErrors& errors_;
  Settings settings_;
  std::set<std::string> target_ids_;
};

auto SettingsParser::Open(std::string_view name) -> TableReader {
  const auto* node = root_.get(name);
  if (node != nullptr && !node->is_table()) {
    errors_.Add(node->source(), std::string(name), "must be a table");
    node = nullptr;
  }
  return {errors_, node == nullptr ? nullptr : node->as_table(),
          std::string(name), root_.source()};
}

template <class Read>
auto SettingsParser::ForEachTable(std::string_view key, Read&& read) -> void {
  const auto* node = root_.get(key);
  if (node == nullptr) {
    return;
  }
  const auto* array = node->as_array();
  if (array == nullptr) {
    errors_.Add(node->source(), std::string(key), "must be an array of tables");
    return;
  }
  std::size_t index = 0;
  for (const auto& element : *array) {
    read(element, index++);
  }
}

auto SettingsParser::ReadInstance() -> void {
  auto reader = Open("instance");
  std::string id;
  std::string region = "default";
  std::string domain = "default";
  std::string level = "info";
  reader.Name("id", true, id);
  reader.Name("region", false, region);
  reader.Name("failure_domain", false, domain);
  reader.Choice("log_level", {"debug", "info", "warning", "error"}, level);
  reader.Finish();
  settings_.instance_ = InstanceId(id);
  settings_.region_ = Region(region);
  settings_.failure_domain_ = FailureDomain(domain);
  settings_.log_level_ = level == "debug"     ? LogLevel::kDebug
                         : level == "warning" ? LogLevel::kWarning
                         : level == "error"   ? LogLevel::kError
                                              : LogLevel::kInfo;
}

auto SettingsParser::ReadCaller() -> void {
  auto reader = Open("caller");
  auto& limits = settings_.caller_limits_;
  reader.Address("address", true, settings_.caller_address_);
  reader.Size("max_connections", {1, 100'000, "connections"},
              limits.max_connections_);
  reader.Size("header_bytes", {1024, 65'536, "bytes"}, limits.header_bytes_);
  reader.Size("body_bytes", {1024, 67'108'864, "bytes"}, limits.body_bytes_);
  reader.Size("blocked_bytes", {16'384, 16'777'216, "bytes"},
              limits.blocked_bytes_);
  reader.Milliseconds("header_timeout_ms", 100, kHour, limits.header_timeout_);
  reader.Milliseconds("body_timeout_ms", 100, kHour, limits.body_timeout_);
  reader.Milliseconds("idle_timeout_ms", 100, kHour, limits.idle_timeout_);
  reader.Milliseconds("write_timeout_ms", 100, kHour, limits.write_timeout_);
  reader.Milliseconds("entry_max_age_ms", 100, kHour, settings_.entry_max_age_);
  reader.Finish();
  auto admin = Open("admin");
  admin.Address("address", true, settings_.admin_address_);
  admin.Finish();
}

auto SettingsParser::ReadPeer(const toml::node& node, std::size_t index)
    -> void {
  TableReader reader(errors_, node.as_table(),
                     "peer[" + std::to_string(index) + "]", node.source());
  std::string id;
  std::string domain = settings_.failure_domain_.value();
  PeerSettings peer;
  reader.Name("id", true, id);
  reader.Address("address", true, peer.endpoint_);
  reader.Name("failure_domain", false, domain);
  reader.Finish();
  peer.id_ = InstanceId(id);
  peer.failure_domain_ = FailureDomain(domain);
  settings_.peers_.push_back(std::move(peer));
}

auto SettingsParser::ReadPeers() -> void {
  auto reader = Open("peers");
  reader.Address("address", false, settings_.peer_address_);
  reader.Finish();
  ForEachTable("peer", [this](const toml::node& node, std::size_t index) {
    ReadPeer(node, index);
  });
  if (!settings_.peers_.empty() && settings_.peer_address_.host_.empty()) {
    reader.Fail("address", "is required when peers are listed");
  }
}

auto SettingsParser::ReadPlatform() -> void {
  auto store = Open("store");
  store.Addresses("addresses", settings_.store_);
  store.Milliseconds("timeout_ms", 10, 60'000, settings_.store_timeout_);
  store.Finish();
  if (settings_.store_.empty()) {
    store.Fail("addresses", "must name at least one address");
  }
  auto list = Open("instance_list");
  list.Addresses("addresses", settings_.instance_list_);
  list.Milliseconds("interval_ms", 100, 60'000,
                    settings_.instance_list_interval_);
  list.Finish();
  auto drain = Open("drain");
  drain.Milliseconds("timeout_ms", 1000, kHour, settings_.drain_timeout_);
  drain.Finish();
}

auto SettingsParser::ReadAdmission() -> void {
  auto reader = Open("admission");
  auto& admission = settings_.admission_;
  reader.Size("max_waiting", {1, 1'000'000, "requests"},
              admission.max_waiting_);
  reader.Size("max_waiting_per_flow", {1, 1'000'000, "requests"},
              admission.max_waiting_per_flow_);
  auto tokens = static_cast<std::int64_t>(admission.long_work_tokens_);
  reader.Number("long_work_tokens", {1, 10'000'000, "tokens"}, tokens);
  admission.long_work_tokens_ = static_cast<std::uint64_t>(tokens);
  reader.Milliseconds("default_deadline_ms", 1, kHour,
                      admission.default_deadline_);
  reader.Finish();
}

auto SettingsParser::ReadTargetIo() -> void {
  auto reader = Open("target_io");
  reader.Milliseconds("connect_timeout_ms", 10, 60'000,
                      settings_.connect_timeout_);
  reader.Milliseconds("send_timeout_ms", 10, kHour, settings_.send_timeout_);
  reader.Milliseconds("head_timeout_ms", 10, kHour, settings_.head_timeout_);
  reader.Milliseconds("body_timeout_ms", 10, kHour, settings_.body_timeout_);
  reader.Milliseconds("report_interval_ms", 50, 60'000,
                      settings_.report_interval_);
  reader.Milliseconds("stream_interval_ms", 10, 60'000,
                      settings_.stream_interval_);
  reader.Size("idle_connections", {0, 10'000, "connections per target"},
              settings_.idle_connections_);
  reader.Finish();
}

auto SettingsParser::ReadTarget(const toml::node& node, std::size_t index)
    -> void {
  TableReader reader(errors_, node.as_table(),
                     "target[" + std::to_string(index) + "]", node.source());
  TargetSettings target;
  std::string id;
  std::string kind = "engine";
  std::string domain = settings_.failure_domain_.value();
  reader.Name("id", true, id);
  reader.Address("address", true, target.endpoint_);
  reader.Choice("kind", {"engine", "service"}, kind);
  reader.Name("service", kind == "service", target.service_);
  reader.Name("failure_domain", false, domain);
  reader.Size("slots", {1, 100'000, "requests"}, target.slots_);
  reader.Flag("honours_fencing", target.honours_fencing_);
  reader.Flag("verifies_issuer", target.verifies_issuer_);
  reader.Finish();
  if (!id.empty() && !target_ids_.insert(id).second) {
    reader.Fail("id", "\"" + id + "\" is used by another target");
  }
  target.id_ = TargetId(id);
  target.engine_ = kind == "engine";
  target.failure_domain_ = FailureDomain(domain);
  settings_.targets_.push_back(std::move(target));
}

auto SettingsParser::Parse() -> Settings {
  ReadInstance();
  ReadCaller();
  ReadPeers();
  ReadPlatform();
  ReadAdmission();
  ReadTargetIo();
  ForEachTable("target", [this](const toml::node& node, std::size_t index) {
    ReadTarget(node, index);
  });
  TableReader top(errors_, &root_, "", root_.source());
  top.Finish({"instance", "caller", "admin", "peers", "peer", "store",
              "instance_list", "drain", "admission", "target_io", "target"});
  return std::move(settings_);
}

}  // namespace

auto ParseSettings(std::string_view text, const std::string& file)
    -> SettingsResult {
  SettingsResult result;
  SettingsErrors errors(file);
  try {
    const auto root = toml::parse(text, file);
    result.settings_ = SettingsParser(root, errors).Parse();
  } catch (const toml::parse_error& error) {
    errors.Add(error.source(), "syntax", std::string(error.description()));
  }
  result.errors_ = errors.TakeSorted();
  return result;
}

auto LoadSettings(const std::string& file) -> SettingsResult {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    return {{}, {file + ": cannot be read"}};
  }
  return ParseSettings(text.str(), file);
}

auto KeysThatNeedRestart(const Settings& running, const Settings& changed)
    -> std::vector<std::string> {
  std::vector<std::string> keys;
  const auto check = [&keys](const char* key, bool same) {
    if (!same) {
      keys.emplace_back(key);
    }
  };
  check("instance.id", running.instance_ == changed.instance_);
  check("instance.region", running.region_ == changed.region_);
  check("instance.failure_domain",
        running.failure_domain_ == changed.failure_domain_);
  check("caller.address", running.caller_address_ == changed.caller_address_);
  check("admin.address", running.admin_address_ == changed.admin_address_);
  check("peers.address", running.peer_address_ == changed.peer_address_);
  check("store.addresses", running.store_ == changed.store_);
  check("instance_list.addresses",
        running.instance_list_ == changed.instance_list_);
  return keys;
}

auto DescribeSettings() -> std::string {
  return R"(Settings file (TOML). Times are in milliseconds.
  [instance]  id (required), region, failure_domain,
              log_level (debug, info, warning, error; reloadable)
  [caller]    address (required), max_connections, header_bytes, body_bytes,
              blocked_bytes, header_timeout_ms, body_timeout_ms,
              idle_timeout_ms, write_timeout_ms, entry_max_age_ms (reloadable
              except address)
  [admin]     address (required)
  [peers]     address; [[peer]] id, address, failure_domain (reloadable)
  [store]     addresses (required), timeout_ms
  [instance_list]  addresses, interval_ms
  [admission] max_waiting, max_waiting_per_flow, long_work_tokens,
              default_deadline_ms (the last two reloadable)
  [target_io] connect_timeout_ms, send_timeout_ms, head_timeout_ms,
              body_timeout_ms, report_interval_ms, stream_interval_ms,
              idle_connections
  [drain]     timeout_ms (reloadable)
  [[target]]  id, address, kind (engine, service), service, failure_domain,
              slots, honours_fencing, verifies_issuer (reloadable)
)";
}

}  // namespace baobab
