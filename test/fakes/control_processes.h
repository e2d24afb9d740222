#ifndef MASTICRILL_TEST_FAKES_CONTROL_PROCESSES_H_
#define MASTICRILL_TEST_FAKES_CONTROL_PROCESSES_H_

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

#include "fakes/control_cluster.h"
#include "fakes/control_operators.h"
#include "fakes/process_state.h"

namespace masticrill::control {

/// A group of control hosts, each in a process of its own, that can be killed and frozen. Made
/// while this process runs no other thread.
class ControlProcesses {
 public:
  explicit ControlProcesses(std::size_t count) {
    const std::vector<std::string> addresses = ReserveAddresses(2 * count);
    std::vector<PeerAddress> peers;
    for (std::size_t index = 0; index < count; ++index) {
      peers.push_back({NodeId("p" + std::to_string(index)), addresses[index]});
    }
    for (std::size_t index = 0; index < count; ++index) {
      this->options.push_back({.node = peers[index].node,
                               .failure_domain = FailureDomainId("espoo-b"),
                               .rpc_address = addresses[index],
                               .http_address = addresses[count + index],
                               .data_folder = this->FolderOf(index),
                               .peers = peers,
                               .initial_members = {},
                               .shared_secret = kSecret,
                               .bootstrap_document = config::ExampleDocument(),
                               .bootstrap_operator_key = "",
                               .timings = {}});
    }
    this->processes.resize(count, kNone);
  }
  ~ControlProcesses() {
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      this->LogIfSilent(index);
    }
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      this->Kill(index);
    }
  }
  ControlProcesses(const ControlProcesses&) = delete;
  ControlProcesses& operator=(const ControlProcesses&) = delete;

  std::string FolderOf(std::size_t index) const {
    return (this->folder.Path() / std::to_string(index)).string();
  }

  void Start(std::size_t index) {
    // The child must not print again what waits to be printed here.
    std::cout.flush();
    const pid_t child = fork();
    Require(child >= 0, "fork failed");
    if (child == 0) {
      this->Serve(this->options[index]);
    }
    this->processes[index] = child;
  }
  void StartAll() {
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      this->Start(index);
    }
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      Require(WaitUntil([&] { return this->Call(index, GetCall("/v1/config")).status == 200; }),
              "A host did not become ready.");
    }
  }

  void Kill(std::size_t index) {
    if (this->processes[index] != kNone) {
      kill(this->processes[index], SIGKILL);
      waitpid(this->processes[index], nullptr, 0);
      this->processes[index] = kNone;
    }
  }
  void Freeze(std::size_t index) const { kill(this->processes[index], SIGSTOP); }
  void Thaw(std::size_t index) const { kill(this->processes[index], SIGCONT); }

  std::size_t Size() const { return this->processes.size(); }
  const ControlOptions& Options(std::size_t index) const { return this->options[index]; }

  net::HttpAnswer Call(std::size_t index, const net::HttpCall& call) const {
    return HandleErrors(
        [&]() -> Result<net::HttpAnswer> {
          net::HttpClient client(this->options[index].http_address,
                                 {.connect_timeout = milliseconds(500),
                                  .read_timeout = milliseconds(2000),
                                  .max_body_bytes = std::size_t{16} << 20U});
          return client.Call(call);
        },
        [](const Error&) { return net::HttpAnswer{.status = 0, .headers = {}, .body = ""}; });
  }
  HostCall Caller() const {
    return [this](std::size_t host, const net::HttpCall& call) { return this->Call(host, call); };
  }

  /// The place of the host that says it leads.
  std::size_t WaitForLeader() const {
    std::size_t leader = this->Size();
    Require(
        WaitUntil([&] {
          for (std::size_t index = 0; index < this->Size(); ++index) {
            if (this->Call(index, GetCall("/metrics")).body.find("\nmasticrill_control_leader 1") !=
                std::string::npos) {
              leader = index;
            }
          }
          return leader < this->Size();
        }),
        "Nobody leads.");
    return leader;
  }

 private:
  static constexpr pid_t kNone = -1;

  /// Prints the state of a host that does not answer with its configuration. The state is lost once
  /// the host is killed.
  void LogIfSilent(std::size_t index) {
    if (this->processes[index] == kNone) {
      return;
    }
    const net::HttpAnswer answer = this->Call(index, GetCall("/v1/config"));
    if (answer.status == 200) {
      return;
    }
    bool runs = false;
    const std::string state = fakes::DescribeChild(this->processes[index], runs);
    std::cout << "Control host " << index << " answers with status " << answer.status << " "
              << answer.body.substr(0, 200) << "; it " << state << std::endl;
    if (!runs) {
      this->processes[index] = kNone;
    }
  }

  /// What the child does until it is killed.
  [[noreturn]] static void Serve(const ControlOptions& options) {
    // No host outlives a test that is aborted.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int failed = HandleErrors(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(server, ControlServer::Start(options));
          while (true) {
            pause();
          }
          return 0;
        },
        [](const Error&) { return 1; });
    _exit(failed);
  }

  TemporaryFolder folder;
  std::vector<ControlOptions> options;
  std::vector<pid_t> processes;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_TEST_FAKES_CONTROL_PROCESSES_H_
