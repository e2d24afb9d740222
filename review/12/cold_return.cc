// FAILBACK: the core is killed and starts again while a worker is cold.
#include <algorithm>

#include "../stand_ins_2.h"

namespace {

constexpr double kColdS = 3.0;
constexpr double kColdPerS = 12;
constexpr double kBound = kColdPerS * 1.5 + 5;

struct Window {
  double begin = 0;
  int requests = 0;
};

/// The second with most requests that were sent and arrived inside it.
Window FindWorstSecond(const std::vector<review::Arrival>& arrivals,
                       const std::vector<review::Sent>& sent) {
  std::map<std::string, double> sent_at;
  for (const review::Sent& one : sent) sent_at[one.request] = one.at;
  Window worst;
  for (const review::Arrival& first : arrivals) {
    const double begin = sent_at[first.request];
    int count = 0;
    for (const review::Arrival& other : arrivals) {
      count += sent_at[other.request] >= begin && other.at < begin + 1 ? 1 : 0;
    }
    if (count > worst.requests) worst = {begin, count};
  }
  return worst;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace review;
  Record record(argc > 1 ? argv[1] : "record.txt");
  Deployment fleet(TemporaryFolder());
  fleet.Make({.with_disk = 1, .observers = 1, .others = 1, .zones = 3});
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<Worker*> listed;
  for (int number = 0; number < 3; ++number) {
    workers.push_back(std::make_unique<Worker>(
        "i-" + std::to_string(number + 1), "models", "127.77.5" + std::to_string(number) + ".1",
        fleet.worker_port, std::string("zone-") + static_cast<char>('a' + number), 15));
    workers.back()->Start();
    listed.push_back(workers.back().get());
  }
  WorkerList list(fleet, listed);
  fleet.Start();
  if (fleet.Order("PUT", "/v1/config",
                  Configuration("safe", "models", "\"ColdStartS\":3.0,\"ColdPerS\":12.0"),
                  15'000) != 200 ||
      !fleet.AwaitReady(10'000)) {
    record.Line("The deployment did not start.");
    Finish(fleet, 2);
  }
  record.Line("The configuration is acknowledged and all machines are ready.");
  Clients clients(fleet, 60, 150, "GET");
  Sleep(5000);

  Worker& worker = *workers.front();
  list.Change([&] { worker.is_listed = false; });
  worker.End();
  record.Line("The worker i-1 ends.");
  Sleep(2000);
  worker.id = "i-4";
  worker.ForgetArrivals();
  worker.Start();
  list.Change([&] {
    worker.is_listed = true;
    worker.cold_until = Clock::now() + Ms(static_cast<int>(kColdS * 1000));
  });
  const double back_at = Seconds();
  record.Line("It is back as i-4 and cold for %.1f s.", kColdS);
  Sleep(600);
  if (Trouble()) {
    fleet.KillCore();
    record.Line("All processes of the core are killed.");
    Sleep(500);
    fleet.RestartCore();
    record.Line("They start again.");
  }
  Sleep(4000);
  const std::vector<Sent> sent = clients.Stop();
  std::vector<Arrival> arrivals = worker.Arrivals();
  std::erase_if(arrivals, [&](const Arrival& one) { return one.at >= back_at + kColdS; });
  const auto served =
      std::count_if(sent.begin(), sent.end(), [](const Sent& one) { return one.status == 200; });
  for (const Arrival& one : arrivals) {
    record.Line("Request %s ran at the cold worker %.3f s after its return.", one.request.c_str(),
                one.at - back_at);
  }
  const Window worst = FindWorstSecond(arrivals, sent);
  record.Line("Requests sent: %zu, served: %ld.", sent.size(), static_cast<long>(served));
  record.Line(
      "Most requests at the cold worker in one second: %d, from %.3f s after its return. "
      "The bound is %.0f.",
      worst.requests, worst.begin - back_at, kBound);
  std::printf("FAILBACK: %d requests in one second, bound %.0f\n", worst.requests, kBound);
  if (served * 2 < static_cast<long>(sent.size())) Finish(fleet, 2);
  Finish(fleet, worst.requests > kBound ? 1 : 0);
}
