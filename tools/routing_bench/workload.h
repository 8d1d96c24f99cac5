#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_routing/target_selector.h"

namespace baobab::bench {

/// One type of request of a deployment.
struct RequestType {
  WorkKind kind_;
  double part_;  ///< Of all requests.
  std::uint32_t prompt_tokens_;
  double response_tokens_;  ///< Mean of a log-normal length.
  std::uint32_t shared_;    ///< Shared prompts in use; 0 for none.
};

/// A deployment: its servers, models and mix of requests.
struct Deployment {
  std::string name_;
  std::size_t servers_;
  std::size_t slow_servers_;  ///< In the straggler scenario.
  std::size_t models_;
  std::size_t replicas_;
  std::size_t instances_;
  std::vector<RequestType> types_;
};

/// Ramcharan: notes, look-ups, re-plan checks of voyage plans, voyage plans.
auto Ramcharan() -> Deployment;
/// Cascade: standings, notes, broker questions, release briefings.
auto Cascade() -> Deployment;

/// A request of the workload.
struct WorkItem {
  RouteRequest route_;
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t response_tokens_ = 0;
};

/// Mean slot-seconds of a request of `deployment`, about.
auto MeanServiceSeconds(const Deployment& deployment, bool with_long) -> double;

/// Draws a request; without long work the type is drawn among the others.
auto DrawItem(const Deployment& deployment, bool with_long, Random& random)
    -> WorkItem;

}  // namespace baobab::bench
