#ifndef MASTICRILL_FAKES_CHILD_PROCESS_H_
#define MASTICRILL_FAKES_CHILD_PROCESS_H_

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>
#include <vector>

#include "fakes/process_state.h"

extern char** environ;  // NOLINT(readability-identifier-naming): a name of the C library.

namespace masticrill::fakes {

/// A process of the program under test. Its standard output is read line by line.
class ChildProcess {
 public:
  explicit ChildProcess(const std::vector<std::string>& words) {
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
      return;
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    // A child that outlives a crashed test must not hold the output that the test's runner reads.
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
    std::vector<char*> arguments;
    for (const std::string& word : words) {
      arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    if (posix_spawn(&this->pid, arguments[0], &actions, nullptr, arguments.data(), environ) != 0) {
      this->pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    this->output = fdopen(ends[0], "r");
  }
  ~ChildProcess() {
    this->Kill();
    if (this->output != nullptr) {
      fclose(this->output);
    }
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// The next line of output, without its end; empty when the process closed it.
  std::string ReadLine() {
    std::string line;
    for (int character = fgetc(this->output); character != EOF && character != '\n';
         character = fgetc(this->output)) {
      line += static_cast<char>(character);
    }
    return line;
  }

  void Signal(int signal) const {
    if (this->pid > 0) {
      kill(this->pid, signal);
    }
  }

  /// Waits for the end and returns the exit code; 128 and the signal where one ended it.
  int Wait() {
    if (this->pid <= 0) {
      return -1;
    }
    int status = 0;
    waitpid(this->pid, &status, 0);
    this->pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }

  /// 0 when it has ended or never began.
  pid_t Pid() const { return this->pid; }

  /// What the process does now, or how it ended.
  std::string Describe() {
    if (this->pid <= 0) {
      return "was ended";
    }
    bool runs = true;
    std::string text = DescribeChild(this->pid, runs);
    if (!runs) {
      this->pid = 0;
    }
    return text;
  }

  void Kill() {
    this->Signal(SIGKILL);
    this->Wait();
  }

 private:
  pid_t pid = 0;
  FILE* output = nullptr;
};

}  // namespace masticrill::fakes

#endif  // MASTICRILL_FAKES_CHILD_PROCESS_H_
