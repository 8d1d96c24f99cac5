// Case 13: streams that began at a machine which is partitioned from the store
// are refused by all other machines once a second software version serves.

#include "../stand_ins_3/scenario.h"

using namespace review;

int main(int, char** argv) {
  Record record(argv[1]);
  const bool trouble = HasTrouble();
  record.Line(trouble ? "with the disruption" : "without the disruption");
  constexpr int kCut = 1;  // the machine that is partitioned from the store
  Fleet fleet(record, argv[2], 3, /*apart=*/-1);
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
  const auto first = server(1, "v1", true);
  const auto second = server(2, "v1", true);
  for (int i = 0; i < 3; ++i) {
    fleet.Start(i);
  }
  fleet.AwaitReady({0, 1, 2});
  fleet.AwaitHolder();
  Sleep(5000);  // all machines are in touch

  const auto cut_at = Clock::now();
  if (trouble) {
    store.Cut(kCut, true);
    record.Line("machine 1 is partitioned from the store");
  }
  Sleep(200);
  const auto newer = server(3, "v2", false);
  Sleep(800);

  // Streams at the machine that is cut off. The connections of every second one
  // are reset, and its client takes the stream up again at the others.
  Group streams(record, "stream", 32, 12000);
  streams.Start(10, [&](Client& client, int number) {
    client.Attempt(fleet.Front(kCut));
    client.Mend();
    for (int tries = 0; tries < 3 && !client.IsOver(); ++tries) {
      Sleep(std::max(500, static_cast<int>(client.retry_after() * 1000)));
      client.Attempt(fleet.Front((number / 2 + tries) % 2 == 0 ? 0 : 2));
    }
  });
  Sleep(1000);
  streams.Break(2);

  // New streams at the same machines, at the same time.
  Sleep(500);
  Group others(record, "new", 16, 12000);
  others.Start(10, [&](Client& client, int number) {
    client.Attempt(fleet.Front(number % 2 == 0 ? 0 : 2));
  });
  std::this_thread::sleep_until(cut_at + Ms(7700));
  if (trouble) {
    store.Cut(kCut, false);
    record.Line("the partition has healed");
  }
  streams.Join();
  others.Join();
  Describe(record,
           "streams at machine 1, every second one taken up again:", streams);
  Describe(record, "new streams:", others);
  int resumed = 0;
  int went_on = 0;
  for (const auto& client : streams.clients()) {
    const auto& stream = client->stream();
    if (stream.statuses_.size() > 1) {
      ++resumed;
      went_on += std::count(stream.statuses_.begin() + 1,
                            stream.statuses_.end(), 200) > 0
                     ? 1
                     : 0;
    }
  }
  const auto begun = std::count_if(
      others.clients().begin(), others.clients().end(),
      [](const auto& client) { return client->stream().last_event_ >= 0; });
  const auto total = static_cast<int>(others.clients().size());
  const bool broken = resumed >= 12 && 2 * went_on * total < resumed * begun;
  const auto result =
      "of " + std::to_string(resumed) + " streams that were taken up again, " +
      std::to_string(went_on) + " went on; of " + std::to_string(total) +
      " new ones, " + std::to_string(begun) + " began";
  record.Line(result);
  record.Line(broken ? "LOST is broken" : "LOST holds");
  std::printf("%s\n", result.c_str());
  std::fflush(stdout);
  for (int i = 0; i < 3; ++i) {
    fleet.Kill(i);
  }
  return resumed < 12 ? 2 : broken ? 1 : 0;
}
