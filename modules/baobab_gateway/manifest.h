#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "baobab_accounts/client_account.h"
#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Whether a request of a route may run more than once.
enum class RequestKind : std::uint8_t {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStream,         ///< Event stream; runs at most once unless resumable.
};

/// A service and its weight in the split of a route's requests.
struct WeightedService {
  std::string service_;
  double weight_ = 1;
};

/// Services and limits for the requests of one host and path prefix.
struct Route {
  std::string name_;
  std::string host_;    ///< Lower case, without port.
  std::string prefix_;  ///< Begins and ends with a slash.
  RequestKind kind_ = RequestKind::kIdempotent;
  std::vector<WeightedService> services_;
  Duration time_limit_{};  ///< From arrival to the end of the response.
  /// A response is late if it begins later than this after the arrival of the
  /// request.
  Duration latency_objective_{};
  /// An event stream with a longer gap between two events also counts as late.
  Duration max_event_gap_{};
  /// Callers abandon a stream that has sent no event for this long, also before
  /// its first one; zero if they wait until the time limit.
  Duration abandon_after_{};
  int priority_ = 0;        ///< Priority at the target; 0 is the highest.
  int max_attempts_ = 1;    ///< Limit on attempts that targets accept.
  bool resumable_ = false;  ///< Another target can resume a stream.
  bool has_shared_prefixes_ = false;  ///< Requests share prompt prefixes.
  /// Needs no key, also if the manifest has accounts.
  bool anonymous_ = false;

  /// Returns true if a request that may have run can be retried.
  [[nodiscard]] auto IsRetryable() const -> bool {
    return kind_ == RequestKind::kIdempotent ||
           (kind_ == RequestKind::kStream && resumable_);
  }
};

/// Memory and load times of a model that the engines of a service can load.
struct ModelSpec {
  std::string name_;
  double memory_mb_ = 0;
  Duration store_load_time_{};   ///< From the weight store.
  Duration disk_load_time_{};    ///< From the target's disk.
  Duration memory_load_time_{};  ///< From the target's host memory.
  double adapter_mb_ = 0;        ///< Memory of one adapter.
};

/// Capacity of each engine of a service, and the models it can load.
struct EngineSpec {
  std::size_t batch_slots_ = 1;
  std::uint64_t cache_tokens_ = 0;  ///< KV cache of one engine, in tokens.
  double weight_memory_mb_ = 0;     ///< Memory for model and adapter weights.
  std::size_t adapter_slots_ = 0;
  /// Limit on the rate of model loads from the weight store, over all engines
  /// of the service.
  double max_store_loads_per_second_ = 0;
  /// Size of one token in the KV cache; 0 if engines cannot fetch cached parts
  /// of prompts from each other.
  double cache_bytes_per_token_ = 0;
  double cache_link_mbps_ = 0;  ///< Bandwidth for such transfers.
  std::vector<ModelSpec> models_;
};

/// A group of targets that serve the same requests.
struct Service {
  std::string name_;
  /// Connections that one target accepts, over all its clients.
  std::size_t max_connections_ = 0;
  std::optional<EngineSpec> engine_;
};

/// Size and time limits for requests of callers.
struct CallerLimits {
  std::size_t header_bytes_ = 16'384;
  std::size_t body_bytes_ = 4'194'304;
  Duration header_timeout_ = std::chrono::seconds(3);
  Duration idle_timeout_ = std::chrono::seconds(15);
};

/// A version of the routes, services and caller limits.
struct Manifest {
  std::int64_t version_ = 0;
  std::vector<Route> routes_;
  std::vector<Service> services_;
  CallerLimits limits_;
  /// Requests need the key of an account, except on anonymous routes.
  bool has_accounts_ = false;
  std::vector<accounts::ClientAccount> accounts_;

  /// Returns the service named `name`, or nullptr if there is none.
  [[nodiscard]] auto FindService(const std::string& name) const
      -> const Service* {
    for (const auto& service : services_) {
      if (service.name_ == name) {
        return &service;
      }
    }
    return nullptr;
  }
};

}  // namespace baobab::gateway
