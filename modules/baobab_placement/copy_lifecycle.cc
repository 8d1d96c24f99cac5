#include "baobab_placement/copy_lifecycle.h"

#include <array>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <initializer_list>

namespace baobab::placement {
namespace {

namespace msm = boost::msm;

struct LoadRecorded {};
struct LoadProven {};
struct LoadFailed {};
struct UnloadRecorded {};
struct UnloadProven {};
struct UnloadFailed {};
struct OrderFenced {};
struct EngineReplaced {};

// NOLINTNEXTLINE(readability-identifier-naming): MSM names its back end so.
struct CopyMachineDefinition
    : public msm::front::state_machine_def<CopyMachineDefinition> {
  struct Absent : public msm::front::state<> {};
  struct Loading : public msm::front::state<> {};
  struct Resident : public msm::front::state<> {};
  struct Unloading : public msm::front::state<> {};

  using initial_state = Absent;  // NOLINT(readability-identifier-naming)

  template <class Start, class Event, class Next>
  using Row = msm::front::Row<Start, Event, Next>;

  struct transition_table
      : public boost::mpl::vector<Row<Absent, LoadRecorded, Loading>,
                                  Row<Loading, LoadProven, Resident>,
                                  Row<Loading, LoadFailed, Absent>,
                                  Row<Loading, OrderFenced, Absent>,
                                  Row<Loading, EngineReplaced, Absent>,
                                  Row<Resident, UnloadRecorded, Unloading>,
                                  Row<Resident, EngineReplaced, Absent>,
                                  Row<Unloading, UnloadProven, Absent>,
                                  Row<Unloading, UnloadFailed, Resident>,
                                  Row<Unloading, OrderFenced, Resident>,
                                  Row<Unloading, EngineReplaced, Absent>> {};

  // An event without a transition leaves the phase as it is.
  template <class Machine, class Event>
  auto no_transition(const Event& /*event*/,  // NOLINT: named by MSM
                     Machine& /*machine*/, int /*state*/) -> void {}
};

using CopyMachine = msm::back::state_machine<CopyMachineDefinition>;

auto Process(CopyMachine* machine, CopyEvent event) -> void {
  switch (event) {
    case CopyEvent::kLoadRecorded:
      machine->process_event(LoadRecorded{});
      break;
    case CopyEvent::kLoadProven:
      machine->process_event(LoadProven{});
      break;
    case CopyEvent::kLoadFailed:
      machine->process_event(LoadFailed{});
      break;
    case CopyEvent::kUnloadRecorded:
      machine->process_event(UnloadRecorded{});
      break;
    case CopyEvent::kUnloadProven:
      machine->process_event(UnloadProven{});
      break;
    case CopyEvent::kUnloadFailed:
      machine->process_event(UnloadFailed{});
      break;
    case CopyEvent::kOrderFenced:
      machine->process_event(OrderFenced{});
      break;
    case CopyEvent::kEngineReplaced:
      machine->process_event(EngineReplaced{});
      break;
  }
}

// MSM cannot be started in a given state, so the machine is led there.
auto MoveTo(CopyMachine* machine, std::optional<CopyPhase> phase) -> void {
  if (!phase) {
    return;
  }
  Process(machine, CopyEvent::kLoadRecorded);
  if (*phase != CopyPhase::kLoading) {
    Process(machine, CopyEvent::kLoadProven);
  }
  if (*phase == CopyPhase::kUnloading) {
    Process(machine, CopyEvent::kUnloadRecorded);
  }
}

}  // namespace

auto Advance(std::optional<CopyPhase> from, CopyEvent event)
    -> std::optional<CopyPhase> {
  CopyMachine machine;
  machine.start();
  MoveTo(&machine, from);
  Process(&machine, event);
  // MSM numbers states in the order in which the table first names them.
  constexpr std::array<std::optional<CopyPhase>, 4> kPhases = {
      std::nullopt, CopyPhase::kLoading, CopyPhase::kResident,
      CopyPhase::kUnloading};
  return kPhases.at(static_cast<std::size_t>(machine.current_state()[0]));
}

}  // namespace baobab::placement
