// Case 11: a machine that is cut off lets streams go on at the one software
// version that it knows.

#include "../stand_ins_3/scenario.h"

using namespace review;

int main(int, char** argv) {
  Record record(argv[1]);
  const bool trouble = HasTrouble();
  record.Line(trouble ? "with the disruption" : "without the disruption");
  constexpr int kCut = 1;  // the machine that is cut off
  Fleet fleet(record, argv[2], 3, kCut);
  Store store(fleet.StoreAddresses());
  store.Put("op/config", Manifest());
  const auto server = [&](int number, const std::string& version, bool holds) {
    Engine::Setup setup;
    setup.id_ = "i-" + std::to_string(number);
    setup.address_ = fleet.ServerAddress(number);
    setup.service_ = kService;
    setup.zone_ = "z" + std::to_string(number % 3);
    setup.version_ = version;
    if (holds) {
      setup.models_ = {kModel};
    }
    return std::make_unique<Engine>(store, record, setup);
  };
  const auto old_server = server(1, "v1", true);
  for (int i = 0; i < 3; ++i) {
    fleet.Start(i);
  }
  fleet.AwaitReady({0, 1, 2});
  fleet.AwaitHolder();
  Sleep(5000);  // the holder's wait is over, and all machines are in touch

  // Demand, so that a new server gets a copy of the model.
  Group demand(record, "demand", 60, 15000);
  std::thread background([&] {
    demand.Start(100, [&](Client& client, int number) {
      client.Attempt(fleet.Front(number % 2 == 0 ? 0 : 2));
    });
  });

  Sleep(500);
  const auto cut_at = Clock::now();
  if (trouble) {
    store.Cut(kCut, true);
    fleet.CutApart(true);
    record.Line("machine 1 is partitioned from the store and the machines");
  }
  Sleep(200);
  const auto new_server = server(2, "v2", false);
  const auto load_until = cut_at + Ms(4000);
  while (!new_server->Holds(kModel) && Clock::now() < load_until) {
    Sleep(50);
  }
  if (!new_server->Holds(kModel)) {
    record.Line("the new server got no model: the case could not run");
    std::_Exit(2);
  }
  Sleep(300);

  // Streams at machine 0. The connections of every second one are reset, and
  // its client takes the stream up again at machine 1 or 2, by turns.
  Group streams(record, "stream", 24, 12000);
  streams.Start(10, [&](Client& client, int number) {
    client.Attempt(fleet.Front(0));
    client.Mend();
    for (int tries = 0; tries < 3 && !client.IsOver(); ++tries) {
      Sleep(static_cast<int>(client.retry_after() * 1000) + 20);
      // One of the other machines: 1, which is cut off, or 2.
      client.Attempt(fleet.Front(kCut + (number / 2 + tries) % 2));
    }
  });
  Sleep(1000);
  streams.Break(2);
  std::thread heal([&] {
    std::this_thread::sleep_until(cut_at + Ms(7700));
    if (trouble) {
      store.Cut(kCut, false);
      fleet.CutApart(false);
      record.Line("the partition has healed");
    }
  });
  streams.Join();
  heal.join();
  background.join();
  demand.Join();
  Describe(record, "streams:", streams);
  const int mixed = CountMixed(streams);
  record.Line("streams with events of two software versions: " +
              std::to_string(mixed) + " (rule: not more than two)");
  record.Line(mixed > 2 ? "ORDER is broken" : "ORDER holds");
  std::printf("%d streams with events of two software versions\n", mixed);
  std::fflush(stdout);
  for (int i = 0; i < 3; ++i) {
    fleet.Kill(i);
  }
  return mixed > 2 ? 1 : 0;
}
