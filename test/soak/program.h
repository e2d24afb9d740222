#ifndef MASTICRILL_SOAK_PROGRAM_H_
#define MASTICRILL_SOAK_PROGRAM_H_

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <optional>
#include <string>
#include <vector>

namespace masticrill::soak {

/// A process with an environment of its own, whose output is appended to a file. Ends with this
/// object.
class Program {
 public:
  Program(const std::vector<std::string>& words, const std::vector<std::string>& environment,
          const std::string& log_path) {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&this->pid, words.front().c_str(), &actions, nullptr, Pointers(words).data(),
                    Pointers(environment).data()) != 0) {
      this->pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
  }
  ~Program() { this->Kill(); }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void Signal(int signal) const {
    if (this->pid > 0) {
      kill(this->pid, signal);
    }
  }

  /// The exit code once the process has ended; 128 and the signal where one ended it.
  std::optional<int> ExitCode() {
    int status = 0;
    if (this->pid > 0 && waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->Remember(status);
    }
    return this->pid > 0 ? std::nullopt : std::optional(this->exit_code);
  }

  void Kill() {
    int status = 0;
    this->Signal(SIGKILL);
    if (this->pid > 0 && waitpid(this->pid, &status, 0) == this->pid) {
      this->Remember(status);
    }
  }

 private:
  static std::vector<char*> Pointers(const std::vector<std::string>& texts) {
    std::vector<char*> pointers;
    for (const std::string& text : texts) {
      pointers.push_back(const_cast<char*>(text.c_str()));
    }
    pointers.push_back(nullptr);
    return pointers;
  }

  void Remember(int status) {
    this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    this->pid = 0;
  }

  pid_t pid = 0;
  int exit_code = -1;
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_PROGRAM_H_
