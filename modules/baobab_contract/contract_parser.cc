#include "baobab_contract/contract_parser.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <set>
#include <utility>

#include "baobab_base/toml.h"

namespace baobab::contract {
namespace {

// Bounds that keep sums over all instances and unit conversions within 64 bits.
constexpr std::int64_t kMaxLimit = 1'000'000'000;
constexpr std::int64_t kMaxDurationMs = 86'400'000;
constexpr std::int64_t kMaxMemoryMb = 100'000'000;
constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kSha256HexLength = 64;

auto IsName(std::string_view text) -> bool {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::ranges::all_of(text, [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
         });
}

auto IsSha256Hex(std::string_view text) -> bool {
  return text.size() == kSha256HexLength &&
         std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

// Reads typed fields from TOML tables and collects the faults found.
class Reader {
 public:
  explicit Reader(const FleetCapacity& capacity) : capacity_(capacity) {}

  auto Read(const toml::table& root) -> Contract {
    Contract contract;
    RejectUnknown(root, "contract",
                  {"customer", "note", "weight", "keys", "limits", "models",
                   "services", "objectives"});
    contract.customer_ = CustomerId(Name(root, "customer"));
    contract.note_ = OptionalText(root, "note");
    if (root.contains("weight")) {
      contract.weight_ = static_cast<int>(Integer(root, "weight", 1, 100));
    }
    ReadKeys(root, contract);
    ReadLimits(root, contract.limits_);
    ReadModels(root, contract);
    ReadServices(root, contract);
    ReadObjectives(root, contract);
    return contract;
  }

  auto TakeFaults() -> std::vector<ContractFault> {
    std::ranges::stable_sort(faults_, {}, &ContractFault::line_);
    return std::move(faults_);
  }

 private:
  static auto Line(const toml::node& node) -> std::uint32_t {
    return node.source().begin.line;
  }

  auto Fault(const toml::node& node, std::string message) -> void {
    faults_.push_back({Line(node), std::move(message)});
  }

  auto RejectUnknown(const toml::table& table, const std::string& where,
                     std::initializer_list<std::string_view> known) -> void {
    for (const auto& [key, node] : table) {
      if (std::ranges::find(known, key.str()) == known.end()) {
        Fault(node,
              "unknown key \"" + std::string(key.str()) + "\" in " + where);
      }
    }
  }

  // Returns the node `key`, or records that it is missing.
  auto Required(const toml::table& table, const std::string& key)
      -> const toml::node* {
    const auto* node = table.get(key);
    if (node == nullptr) {
      Fault(table, "missing key \"" + key + "\"");
    }
    return node;
  }

  auto Integer(const toml::table& table, const std::string& key,
               std::int64_t low, std::int64_t high) -> std::int64_t {
    const auto* node = Required(table, key);
    if (node == nullptr) {
      return low;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < low || *value > high) {
      Fault(*node, "\"" + key + "\" must be an integer from " +
                       std::to_string(low) + " to " + std::to_string(high));
      return low;
    }
    return *value;
  }

  auto OptionalText(const toml::table& table, const std::string& key)
      -> std::string {
    const auto* node = table.get(key);
    if (node == nullptr) {
      return "";
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
      Fault(*node, "\"" + key + "\" must be a string");
    }
    return value.value_or("");
  }

  auto CheckName(const toml::node& node, const std::string& key)
      -> std::string {
    const auto value = node.value_exact<std::string>();
    if (!value || !IsName(*value)) {
      Fault(node, "\"" + key +
                      "\" must consist of 1 to 128 letters, digits, '-', '_' "
                      "and '.'");
      return "";
    }
    return *value;
  }

  auto Name(const toml::table& table, const std::string& key) -> std::string {
    const auto* node = Required(table, key);
    return node == nullptr ? "" : CheckName(*node, key);
  }

  // Records a fault if `name` was already in `seen`.
  auto CheckUnique(const toml::node& node, std::set<std::string>& seen,
                   const std::string& name) -> void {
    if (!name.empty() && !seen.insert(name).second) {
      Fault(node, "\"" + name + "\" appears twice");
    }
  }

  auto Table(const toml::table& root, const std::string& key)
      -> const toml::table* {
    const auto* node = Required(root, key);
    if (node != nullptr && !node->is_table()) {
      Fault(*node, "\"" + key + "\" must be a table");
    }
    return node == nullptr ? nullptr : node->as_table();
  }

  // Calls `read` for each table of the optional array of tables `key`.
  template <class Read>
  auto EachTable(const toml::table& root, const std::string& key, Read read)
      -> void {
    const auto* node = root.get(key);
    if (node == nullptr) {
      return;
    }
    if (!node->is_array()) {
      Fault(*node, "\"" + key + "\" must be an array of tables");
      return;
    }
    for (const auto& element : *node->as_array()) {
      if (const auto* table = element.as_table()) {
        read(*table);
      } else {
        Fault(element, "\"" + key + "\" must hold tables only");
      }
    }
  }

  auto ReadKeys(const toml::table& root, Contract& contract) -> void {
    const auto* keys = Table(root, "keys");
    if (keys == nullptr) {
      return;
    }
    RejectUnknown(*keys, "[keys]", {"sha256"});
    const auto* node = Required(*keys, "sha256");
    if (node == nullptr) {
      return;
    }
    if (!node->is_array() || node->as_array()->empty()) {
      Fault(*node, "\"sha256\" must be a list of at least one digest");
      return;
    }
    std::set<std::string> seen;
    for (const auto& element : *node->as_array()) {
      const auto digest = element.value_exact<std::string>().value_or("");
      if (!IsSha256Hex(digest)) {
        Fault(element, "a caller key must be 64 lower-case hex digits");
      }
      CheckUnique(element, seen, digest);
      contract.key_digests_.push_back(digest);
    }
  }

  auto ReadLimits(const toml::table& root, ContractLimits& limits) -> void {
    const auto* table = Table(root, "limits");
    if (table == nullptr) {
      return;
    }
    RejectUnknown(
        *table, "[limits]",
        {"requests_per_second", "concurrent_requests", "tokens_per_second",
         "concurrent_bookings", "max_duration_ms"});
    limits.requests_per_second_ =
        Integer(*table, "requests_per_second", 1, kMaxLimit);
    limits.concurrent_requests_ =
        Integer(*table, "concurrent_requests", 1, kMaxLimit);
    limits.tokens_per_second_ =
        Integer(*table, "tokens_per_second", 1, kMaxLimit);
    limits.concurrent_bookings_ =
        Integer(*table, "concurrent_bookings", 0, kMaxLimit);
    limits.max_duration_ = std::chrono::milliseconds(
        Integer(*table, "max_duration_ms", 1, kMaxDurationMs));
  }

  auto ReadAdapters(const toml::table& table, ContractModel& model) -> void {
    const auto* node = table.get("adapters");
    if (node == nullptr) {
      return;
    }
    if (!node->is_array()) {
      Fault(*node, "\"adapters\" must be a list of names");
      return;
    }
    std::set<std::string> seen;
    for (const auto& element : *node->as_array()) {
      const auto name = CheckName(element, "adapters");
      CheckUnique(element, seen, name);
      model.adapters_.emplace_back(name);
    }
  }

  auto ReadModels(const toml::table& root, Contract& contract) -> void {
    std::set<std::string> seen;
    std::int64_t total_mb = 0;
    EachTable(root, "models", [&](const toml::table& table) {
      RejectUnknown(table, "[[models]]", {"name", "adapters", "memory_mb"});
      ContractModel model;
      model.name_ = ModelId(Name(table, "name"));
      CheckUnique(table, seen, model.name_.value());
      ReadAdapters(table, model);
      model.memory_mb_ = Integer(table, "memory_mb", 1, kMaxMemoryMb);
      total_mb += model.memory_mb_;
      CheckFit(table, model, total_mb);
      contract.models_.push_back(std::move(model));
    });
  }

  auto CheckFit(const toml::table& table, const ContractModel& model,
                std::int64_t total_mb) -> void {
    const auto name = "model \"" + model.name_.value() + "\"";
    if (model.memory_mb_ > capacity_.largest_server_mb_) {
      Fault(table, name + " needs " + std::to_string(model.memory_mb_) +
                       " MB; the largest server has " +
                       std::to_string(capacity_.largest_server_mb_) + " MB");
    } else if (total_mb > capacity_.available_mb_) {
      Fault(table, name + " brings the contract to " +
                       std::to_string(total_mb) + " MB; " +
                       std::to_string(capacity_.available_mb_) +
                       " MB are available");
    }
  }

  auto ReadServices(const toml::table& root, Contract& contract) -> void {
    std::set<std::string> seen;
    EachTable(root, "services", [&](const toml::table& table) {
      RejectUnknown(table, "[[services]]", {"name", "idempotent"});
      ContractService service;
      service.name_ = Name(table, "name");
      CheckUnique(table, seen, service.name_);
      if (const auto* node = Required(table, "idempotent")) {
        const auto value = node->value_exact<bool>();
        if (!value) {
          Fault(*node, "\"idempotent\" must be true or false");
        }
        service.idempotent_ = value.value_or(false);
      }
      contract.services_.push_back(std::move(service));
    });
  }

  auto ReadKind(const toml::table& table) -> WorkKind {
    const auto* node = Required(table, "kind");
    if (node == nullptr) {
      return WorkKind::kShort;
    }
    const auto kind =
        ParseWorkKind(node->value_exact<std::string>().value_or(""));
    if (!kind) {
      Fault(*node, "\"kind\" must be short, long, booking or lookup");
    }
    return kind.value_or(WorkKind::kShort);
  }

  auto ReadTarget(const toml::table& table) -> double {
    const auto* node = Required(table, "target");
    if (node == nullptr) {
      return 0;
    }
    const auto value = node->value<double>();
    // Written so that not-a-number is rejected too.
    if (!value || !(*value > 0 && *value < 1)) {
      Fault(*node, "\"target\" must be a number between 0 and 1, exclusive");
    }
    return value.value_or(0);
  }

  auto ReadObjectives(const toml::table& root, Contract& contract) -> void {
    std::set<std::string> seen;
    EachTable(root, "objectives", [&](const toml::table& table) {
      RejectUnknown(table, "[[objectives]]", {"kind", "latency_ms", "target"});
      ContractObjective objective;
      objective.kind_ = ReadKind(table);
      if (table.contains("kind")) {
        CheckUnique(table, seen, std::string(ToString(objective.kind_)));
      }
      objective.latency_ = std::chrono::milliseconds(
          Integer(table, "latency_ms", 1, kMaxDurationMs));
      objective.target_ = ReadTarget(table);
      contract.objectives_.push_back(objective);
    });
  }

  FleetCapacity capacity_;
  std::vector<ContractFault> faults_;
};

}  // namespace

auto ParseContract(std::string_view text, const FleetCapacity& capacity)
    -> ContractParse {
  try {
    const auto root = toml::parse(text);
    Reader reader(capacity);
    auto contract = reader.Read(root);
    auto faults = reader.TakeFaults();
    if (!faults.empty()) {
      return {std::nullopt, std::move(faults)};
    }
    return {std::move(contract), {}};
  } catch (const toml::parse_error& error) {
    return {std::nullopt,
            {{error.source().begin.line, std::string(error.description())}}};
  }
}

auto FormatFaults(const std::vector<ContractFault>& faults) -> std::string {
  std::string text;
  for (const auto& fault : faults) {
    text += "line " + std::to_string(fault.line_) + ": " + fault.message_;
    text += "\n";
  }
  return text;
}

}  // namespace baobab::contract
