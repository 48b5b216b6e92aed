#include "src/request/request_ledger.h"

#include <benchmark/benchmark.h>

namespace celerypost {
namespace {

// Begin and Finish of one request at a full ledger, which discards an older
// record each time. Argument: maximum number of records.
void BmLedgerBeginFinish(benchmark::State& state) {
  RequestLedger ledger({.max_records = static_cast<size_t>(state.range(0))},
                       InstanceId{1});
  SlotTable table;
  table.version = 1;
  table.slots.fill({InstanceId{1}, 1});
  ledger.ApplyTable(table);
  SplitMixRandom random(1);
  TimePoint now{};
  std::chrono::milliseconds issued{0};
  const auto run = [&] {
    issued += std::chrono::milliseconds(1);
    now += std::chrono::milliseconds(1);
    const RequestId id = RequestId::Make(1, issued, random);
    if (ledger.Begin(id, 1, now).result == BeginResult::kRun) {
      ledger.Finish(id, {200, "text/plain", "done"}, now);
    }
  };
  for (int64_t filled = 0; filled < state.range(0); ++filled) {
    run();
  }
  for (auto _ : state) {
    run();
  }
}
BENCHMARK(BmLedgerBeginFinish)->Arg(1024)->Arg(65536);

// HandOff of one slot. Argument: records in all slots.
void BmLedgerHandOff(benchmark::State& state) {
  RequestLedger ledger({}, InstanceId{1});
  SlotTable table;
  table.version = 1;
  table.slots.fill({InstanceId{1}, 1});
  ledger.ApplyTable(table);
  SplitMixRandom random(1);
  for (int64_t count = 0; count < state.range(0); ++count) {
    const RequestId id =
        RequestId::Make(1, std::chrono::milliseconds(count), random);
    ledger.Begin(id, 1, TimePoint{});
    ledger.Finish(id, {200, "text/plain", "done"}, TimePoint{});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(ledger.HandOff(0, InstanceId{2}));
  }
}
BENCHMARK(BmLedgerHandOff)->Arg(65536);

}  // namespace
}  // namespace celerypost
