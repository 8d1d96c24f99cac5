#include "baobab_peers/peer_message.h"

#include <array>

namespace baobab::peers {

auto PeerTypeName(const PeerBody& body) -> std::string_view {
  constexpr std::array<std::string_view, std::variant_size_v<PeerBody>> kNames =
      {"heartbeat",         "leave",
       "domain_summary",    "contract_pull",
       "contract_push",     "loan_request",
       "loan_answer",       "loan_return",
       "operation_outcome", "target_leaving",
       "straggler_weights", "demand_summary",
       "roster_relay"};
  return kNames.at(body.index());
}

}  // namespace baobab::peers
