#pragma once

#include <string>
#include <vector>

#include "baobab_gateway/manifest.h"
#include "baobab_gateway/target_registry.h"

/// Helpers that build manifests and target registrations for tests.
namespace baobab::gateway::test {

/// Returns a manifest with a service "engines" with `models` and a service
/// "plain". An engine has memory for three models and slots for eight adapters;
/// the weight store allows 1.4 loads per second.
inline auto MakeTestManifest(const std::vector<std::string>& models)
    -> Manifest {
  Manifest manifest;
  manifest.version_ = 1;
  EngineSpec engine;
  engine.batch_slots_ = 64;
  engine.cache_tokens_ = 259'377;
  engine.weight_memory_mb_ = 220'000;
  engine.adapter_slots_ = 8;
  engine.max_store_loads_per_second_ = 1.4;
  engine.cache_bytes_per_token_ = 163'840;
  engine.cache_link_mbps_ = 1'100'000;
  for (const auto& name : models) {
    ModelSpec model;
    model.name_ = name;
    model.memory_mb_ = 72'700;
    model.store_load_time_ = std::chrono::milliseconds(4200);
    model.adapter_mb_ = 66;
    engine.models_.push_back(model);
  }
  manifest.services_.push_back({"engines", 360, engine});
  manifest.services_.push_back({"plain", 100, std::nullopt});
  return manifest;
}

/// Returns the registration of engine "t<index>", which has loaded `models`.
inline auto MakeEngine(std::size_t index,
                       const std::vector<std::string>& models)
    -> TargetRegistration {
  TargetRegistration registration;
  registration.id_ = "t" + std::to_string(index);
  registration.service_ = "engines";
  registration.zone_ = "z";
  registration.slots_ = 64;
  for (const auto& model : models) {
    registration.models_.push_back({model, {}});
  }
  return registration;
}

/// Returns a registry of engines "t0" to "t<count-1>", all of which have
/// loaded `models`.
inline auto MakeRegistry(std::size_t count,
                         const std::vector<std::string>& models)
    -> TargetRegistry {
  TargetRegistry registry;
  for (std::size_t i = 0; i < count; ++i) {
    registry.Put(MakeEngine(i, models), static_cast<std::int64_t>(i) + 1);
  }
  return registry;
}

}  // namespace baobab::gateway::test
