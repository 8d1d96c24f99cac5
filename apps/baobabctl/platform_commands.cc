#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <map>
#include <set>

#include "baobab_placement/server_record.h"
#include "baobab_platform/instance_list_client.h"
#include "command_line.h"
#include "contract_output.h"
#include "exit_code.h"
#include "fleet_commands.h"
#include "store_session.h"
#include "text_table.h"

namespace baobab::ctl {
namespace {

namespace json = boost::json;

using platform::InstanceKind;
using platform::InstanceState;
using platform::ListedInstance;

auto NameOf(InstanceKind kind) -> std::string {
  switch (kind) {
    case InstanceKind::kDaemon:
      return "daemon";
    case InstanceKind::kEngine:
      return "engine";
    case InstanceKind::kService:
      break;
  }
  return "service";
}

auto NameOf(InstanceState state) -> std::string {
  switch (state) {
    case InstanceState::kLive:
      return "live";
    case InstanceState::kLeaving:
      return "leaving";
    case InstanceState::kEnded:
      break;
  }
  return "ended";
}

auto PrintInstances(const std::vector<ListedInstance>& instances, bool as_json)
    -> void {
  json::array list;
  TextTable table(
      {"instance", "kind", "state", "region", "failure domain", "address"});
  for (const auto& instance : instances) {
    list.push_back({{"id", instance.id_.value()},
                    {"kind", NameOf(instance.kind_)},
                    {"state", NameOf(instance.state_)},
                    {"region", instance.region_.value()},
                    {"failure_domain", instance.failure_domain_.value()},
                    {"address", instance.address_},
                    {"admin_address", instance.admin_address_}});
    table.Add({instance.id_.value(), NameOf(instance.kind_),
               NameOf(instance.state_), instance.region_.value(),
               instance.failure_domain_.value(), instance.address_});
  }
  if (as_json) {
    std::cout << json::serialize(list) << '\n';
  } else {
    table.Print(std::cout);
  }
}

/// Who needs a model and where its copies are recorded.
struct ModelView {
  std::set<std::string> customers_;
  std::vector<std::string> copies_;
  bool held_ = false;
};

auto ReadModels(StoreSession& session) -> std::map<ModelId, ModelView> {
  std::map<ModelId, ModelView> models;
  for (const auto& record : session.ReadContracts()) {
    for (const auto& model : ParseOrEmpty(record).models_) {
      models[model.name_].customers_.insert(record.customer_.value());
    }
  }
  for (const auto& stored : session.ReadPrefix("/baobab/servers/")) {
    const auto record =
        placement::ServerRecord::Parse(stored.value_, stored.mod_revision_);
    for (const auto& [key, copy] : record.copies_) {
      auto& view = models[key.model_];
      view.held_ = view.held_ || record.Holds(key.model_);
      view.copies_.push_back(record.target_.value() + " v" + key.version_ +
                             " " + std::string(ToString(copy.phase_)));
    }
  }
  return models;
}

auto Join(const auto& parts) -> std::string {
  std::string text;
  for (const auto& part : parts) {
    text += (text.empty() ? "" : ", ") + part;
  }
  return text;
}

}  // namespace

auto RunInstances(const std::vector<std::string>& arguments) -> int {
  CommandLine line("instances", {},
                   "Prints the platform's instance list, which lags.");
  if (const auto code = line.AddDaemons().Parse(arguments)) {
    return *code;
  }
  const auto address = line.InstanceListAddress();
  if (address.empty()) {
    std::cerr << "baobabctl instances: --instances is required\n";
    return kUsageError;
  }
  boost::asio::io_context context;
  platform::InstanceListResult result;
  platform::InstanceListClient client(context, address);
  client.Fetch([&result](platform::InstanceListResult read) {
    result = std::move(read);
  });
  context.run();
  if (result.failure_) {
    std::cerr << "baobabctl instances: " << result.failure_->peer_ << ": "
              << result.failure_->step_ << ": " << result.failure_->reason_
              << '\n';
    return kUnreachable;
  }
  PrintInstances(result.instances_, line.json());
  return kSuccess;
}

auto RunModels(const std::vector<std::string>& arguments) -> int {
  CommandLine line("models", {},
                   "Prints each model that a contract names or a server record "
                   "lists, with the\ncustomers that need it and its copies. "
                   "Exit code 1 if a model of a contract has no\nresident copy "
                   "in the records.");
  if (const auto code = line.AddStore().Parse(arguments)) {
    return *code;
  }
  StoreSession session(line.StoreAddresses(), line.time_limit());
  json::array list;
  TextTable table({"model", "held", "customers", "copies"});
  bool all_held = true;
  for (const auto& [model, view] : ReadModels(session)) {
    all_held = all_held && (view.held_ || view.customers_.empty());
    json::array copies(view.copies_.begin(), view.copies_.end());
    json::array customers(view.customers_.begin(), view.customers_.end());
    list.push_back({{"model", model.value()},
                    {"held", view.held_},
                    {"customers", std::move(customers)},
                    {"copies", std::move(copies)}});
    table.Add({model.value(), view.held_ ? "yes" : "no", Join(view.customers_),
               Join(view.copies_)});
  }
  if (line.json()) {
    std::cout << json::serialize(list) << '\n';
  } else {
    table.Print(std::cout);
  }
  return all_held ? kSuccess : kFailure;
}

}  // namespace baobab::ctl
