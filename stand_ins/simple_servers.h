#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "baobab_base/time_types.h"
#include "stand_ins/http_shell.h"

namespace baobab::stand_in {

/// Serves a ServiceLedger: `GET /runs`, `POST /fault`; every other call is an
/// operation of the service, with its key in `Idempotency-Key`.
[[nodiscard]] auto MakeServiceServer(boost::asio::io_context& context,
                                     const std::string& address,
                                     std::uint16_t port, Duration delay)
    -> std::unique_ptr<HttpShell>;

/// Serves an InstanceRegister: `GET /v1/instances`, and `POST /v1/instances`
/// to change an instance. `initial` is as in InstanceRegister.
[[nodiscard]] auto MakeInstanceServer(boost::asio::io_context& context,
                                      const std::string& address,
                                      std::uint16_t port, Duration lag,
                                      const std::string& initial)
    -> std::unique_ptr<HttpShell>;

}  // namespace baobab::stand_in
