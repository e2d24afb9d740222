#include <array>

#include "soak/caller.h"
#include "soak/upstreams.h"

namespace masticrill::soak {
namespace {

constexpr milliseconds kPause{40};
constexpr int kMaxDenied = 10;
constexpr std::uint64_t kLongestWorkMs = 9000;
constexpr std::uint64_t kLongestBodyMs = 4000;

bool PromisesNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

std::string Describe(const Attempt& attempt) {
  return "request " + attempt.id + " for " + attempt.path + " with key-" +
         std::to_string(attempt.key_revision);
}

}  // namespace

Callers::Callers(std::uint64_t seed, std::size_t count, const Fleet& fleet,
                 const Acknowledged& acknowledged, const Calm& calm, Timeline& timeline,
                 const StopLog* stops)
    : fleet(fleet), acknowledged(acknowledged), calm(calm), timeline(timeline), stops(stops) {
  for (std::size_t caller = 0; caller < count; ++caller) {
    this->threads.emplace_back(
        [this, seed, caller] { this->Run(Random(seed * 100 + caller), caller); });
  }
}

Callers::~Callers() { this->Stop(); }

void Callers::Stop() {
  this->stopping = true;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

void Callers::Run(Random random, std::size_t caller) {
  std::map<std::string, CallerConnection> connections;
  for (int number = 0; !this->stopping; ++number) {
    std::this_thread::sleep_for(milliseconds(random.Below(kPause.count() * 2)));
    const HostAddresses host = this->ChooseHost(random);
    const std::string address = this->stops == nullptr ? host.callers : host.entry;
    const std::string id = std::to_string(caller) + "-" + std::to_string(number);
    Outcome outcome{this->Choose(random, id)};
    const std::string key = outcome.attempt.forbidden && random.Below(2) == 0
                                ? "key-none"
                                : "key-" + std::to_string(outcome.attempt.key_revision);
    if (outcome.attempt.forbidden && key != "key-none") {
      outcome.attempt.path = "/never/" + id;
    }
    outcome.attempt.host = host.number;
    if (this->stops != nullptr) {
      this->AddWork(random, outcome.attempt);
    }
    outcome.attempt.sent_at = this->timeline.Now();
    CallerConnection& connection = connections.try_emplace(address, address).first->second;
    const Reply reply = connection.Ask(outcome.attempt, key);
    outcome.status = reply.status;
    outcome.complete = reply.complete;
    outcome.sent_whole_at = reply.sent_whole_at;
    outcome.ended_at = reply.ended_at;
    outcome.was_calm = this->calm.Held(outcome.attempt.sent_at, kContact);
    outcome.was_in_touch =
        outcome.was_calm &&
        (this->stops == nullptr || this->stops->InTouch(host.number, outcome.attempt.sent_at));
    this->Check(outcome, reply);
    const std::scoped_lock lock(this->mutex);
    this->outcomes.emplace(id, outcome);
  }
}

HostAddresses Callers::ChooseHost(Random& random) const {
  const std::vector<HostAddresses> hosts = this->fleet.Addresses();
  if (this->stops != nullptr && random.Below(3) != 0) {
    const std::vector<std::size_t> stopping = this->stops->Stopping(this->timeline.Now());
    const std::size_t number = stopping.empty() ? 0 : stopping.at(random.Below(stopping.size()));
    for (const HostAddresses& host : hosts) {
      if (host.number == number) {
        return host;
      }
    }
  }
  return hosts.at(random.Below(hosts.size()));
}

void Callers::AddWork(Random& random, Attempt& attempt) const {
  if (random.Below(2) == 0) {
    const std::size_t route_end = attempt.path.find('/', 1);
    attempt.path.insert(route_end, WorkPart(milliseconds(random.Below(kLongestWorkMs))));
  }
  constexpr std::array kTimeouts = {kCallTimeout, kLongCallTimeout, kLongCallTimeout};
  attempt.timeout = kTimeouts.at(random.Below(kTimeouts.size()));
  if (random.Below(3) == 0) {
    attempt.body_time = milliseconds(random.Below(kLongestBodyMs));
  }
}

Attempt Callers::Choose(Random& random, const std::string& id) const {
  Attempt attempt;
  attempt.id = id;
  const std::uint64_t newest = this->acknowledged.HighestSent();
  const std::uint64_t back = random.Below(2 * kRoutesKept);
  switch (random.Below(8)) {
    case 0:
    case 1:
      attempt.kind = CallKind::kSafe;
      attempt.path = "/safe/" + id;
      break;
    case 2:
      attempt.kind = CallKind::kStream;
      attempt.path = "/stream/" + id;
      break;
    case 3:
    case 4:
      attempt.kind = CallKind::kOnce;
      attempt.route_revision = newest > back ? newest - back : 1;
      attempt.path = "/r" + std::to_string(attempt.route_revision) + "/" + id;
      break;
    default:
      attempt.kind = CallKind::kOnce;
      attempt.path = "/once/" + id;
  }
  if (random.Below(6) == 0) {
    attempt.key_revision = newest > back ? newest - back : 1;
  }
  attempt.forbidden = random.Below(40) == 0;
  return attempt;
}

void Callers::Check(const Outcome& outcome, const Reply& reply) {
  const Attempt& attempt = outcome.attempt;
  constexpr int kOk = 200;
  if (attempt.forbidden && reply.status == kOk) {
    this->timeline.Fail("ROUTE", Describe(attempt) + " was served");
  }
  if (reply.status == kOk) {
    if (reply.signature != "s-" + attempt.id) {
      this->timeline.Fail("MIXED", Describe(attempt) + " was answered with the signature \"" +
                                       reply.signature + "\"");
    }
    if (attempt.kind == CallKind::kStream) {
      this->CheckStream(attempt, reply);
    } else if (reply.complete && reply.body != AnswerBody(attempt.id)) {
      this->timeline.Fail("MIXED", Describe(attempt) + ": an incomplete answer looks complete");
    }
    this->served += reply.complete ? 1 : 0;
  }
  const bool is_base = attempt.route_revision == 0 && attempt.key_revision == 0;
  const bool is_denied = reply.status == 401 || reply.status == 403 || reply.status == 404;
  if (is_denied && is_base && !attempt.forbidden && ++this->denied > kMaxDenied) {
    this->timeline.Fail("DENIED", Describe(attempt) + " got " + std::to_string(reply.status));
  }
  const std::uint64_t route = attempt.route_revision;
  if (is_denied && outcome.was_in_touch && attempt.key_revision == 0 && route != 0 &&
      !attempt.forbidden && this->acknowledged.NewestAt(attempt.sent_at - kConfigApply) >= route &&
      this->acknowledged.HighestSent() < route + kRoutesKept) {
    this->timeline.Fail("CONFIG", Describe(attempt) + " got " + std::to_string(reply.status) +
                                      " though its route is in force");
  }
}

void Callers::CheckStream(const Attempt& attempt, const Reply& reply) {
  std::string expected;
  for (int event = 1; event <= kEvents; ++event) {
    expected += "id: " + std::to_string(event) + "\ndata: " + attempt.id + "-" +
                std::to_string(event) + "\n\n";
  }
  if (!expected.starts_with(reply.body)) {
    this->timeline.Fail("ORDER", Describe(attempt) + " got wrong events: " + reply.body);
  } else if (reply.complete && reply.body != expected) {
    this->timeline.Fail("ORDER", Describe(attempt) +
                                     ": an incomplete stream looks complete, with " +
                                     std::to_string(reply.body.size()) + " bytes");
  }
}

void Callers::CheckRuns(const std::vector<soak::Run>& runs) {
  std::map<std::string, int> counts;
  std::map<std::string, const soak::Run*> last_runs;
  for (const soak::Run& run : runs) {
    if (run.id.starts_with(kProbePrefix)) {
      continue;
    }
    const auto found = this->outcomes.find(run.id);
    if (found == this->outcomes.end()) {
      this->timeline.Fail("UNASKED", "a run of \"" + run.id + "\" that no caller sent");
      continue;
    }
    const Outcome& outcome = found->second;
    const bool is_once = outcome.attempt.kind == CallKind::kOnce;
    if (++counts[run.id] > 1 && is_once) {
      this->timeline.Fail("TWICE", Describe(outcome.attempt) + " ran more than once");
    }
    if (is_once && PromisesNotRun(outcome.status)) {
      this->timeline.Fail("REFUSED", Describe(outcome.attempt) + " got " +
                                         std::to_string(outcome.status) + " and ran");
    }
    this->CheckRun(outcome, run);
    const soak::Run*& last_run = last_runs[run.id];
    last_run = last_run == nullptr || run.ended_at > last_run->ended_at ? &run : last_run;
  }
  if (this->stops != nullptr) {
    std::map<std::string, int> ends;
    for (const auto& [id, outcome] : this->outcomes) {
      const auto found = last_runs.find(id);
      this->CheckAnswered(outcome, found == last_runs.end() ? nullptr : found->second);
      if (outcome.was_calm) {
        ++ends[outcome.complete           ? "status " + std::to_string(outcome.status)
               : !outcome.sent_whole_at   ? "not sent"
               : found == last_runs.end() ? "not passed on"
                                          : "cut"];
      }
    }
    for (const auto& [end, count] : ends) {
      this->timeline.Add("around planned work: " + end + " " + std::to_string(count));
    }
  }
}

void Callers::CheckAnswered(const Outcome& outcome, const soak::Run* last_run) {
  const Attempt& attempt = outcome.attempt;
  if (!outcome.was_calm || outcome.complete || !outcome.sent_whole_at) {
    return;
  }
  const auto in_ms = [](Duration span) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count()) + " ms";
  };
  const Duration waited = outcome.ended_at - *outcome.sent_whole_at;
  if (outcome.ended_at >= attempt.sent_at + attempt.timeout) {
    return;
  }
  const std::string what = Describe(attempt) + " to host " + std::to_string(attempt.host) +
                           ", status " + std::to_string(outcome.status) + ", sent in " +
                           in_ms(*outcome.sent_whole_at - attempt.sent_at) + " and ended " +
                           in_ms(waited) + " later";
  if (last_run == nullptr && waited > kLossSlack) {
    this->timeline.Fail("LOST", what + ", was not passed on and got no complete answer");
  } else if (last_run != nullptr && !last_run->broke_off &&
             !this->stops->MayCut(attempt.host, *outcome.sent_whole_at, last_run->ended_at)) {
    this->timeline.Fail("LOST", what + ", ran and got no complete answer");
  }
}

void Callers::CheckRun(const Outcome& outcome, const soak::Run& run) {
  const Attempt& attempt = outcome.attempt;
  if (attempt.forbidden) {
    this->timeline.Fail("ROUTE", Describe(attempt) + " ran");
  }
  if (run.team != kTeam || run.has_key || run.path != attempt.path ||
      run.body != "body of " + attempt.id) {
    this->timeline.Fail("UNASKED", Describe(attempt) + " ran changed, for team \"" + run.team +
                                       "\" at " + run.path);
  }
  if (this->stops == nullptr && outcome.was_calm && !outcome.complete) {
    this->timeline.Fail("LOST", Describe(attempt) + " ran and got no complete answer; status " +
                                    std::to_string(outcome.status));
  }
  if (outcome.was_in_touch && attempt.route_revision != 0 &&
      this->acknowledged.NewestAt(attempt.sent_at - kConfigApply) >=
          attempt.route_revision + kRoutesKept) {
    this->timeline.Fail("CONFIG", Describe(attempt) + " ran on a route that was dropped");
  }
  if (attempt.key_revision != 0 &&
      this->acknowledged.NewestAt(attempt.sent_at - kRevoke) >= attempt.key_revision + kKeysKept) {
    this->timeline.Fail("CONFIG", Describe(attempt) + " ran with a key that was taken away");
  }
}

}  // namespace masticrill::soak
