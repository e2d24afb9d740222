#ifndef MASTICRILL_FAKES_PROCESS_STATE_H_
#define MASTICRILL_FAKES_PROCESS_STATE_H_

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace masticrill::fakes {

inline std::string ReadProcFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  while (!text.empty() && text.back() == '\n') {
    text.pop_back();
  }
  return text;
}

/// The most memory that the process has had resident, in KiB; 0 when it has ended.
inline std::size_t PeakMemoryKb(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string word; status >> word;) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) {
      return kilobytes;
    }
  }
  return 0;
}

/// The descriptors that the process has open; 0 when it has ended.
inline std::size_t OpenDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd",
                                                  error);
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// The stacks of all threads; empty where no debugger is installed or it may not attach.
inline std::string StacksOf(pid_t process) {
  const std::string command =
      "timeout 30 gdb -p " + std::to_string(process) +
      " -batch -nx -ex 'set debuginfod enabled off' -ex 'thread apply all bt 16' 2>/dev/null";
  FILE* const output = popen(command.c_str(), "r");
  if (output == nullptr) {
    return "";
  }
  std::string text;
  std::array<char, 4096> block{};
  while (const std::size_t count = fread(block.data(), 1, block.size(), output)) {
    text.append(block.data(), count);
  }
  pclose(output);
  return text;
}

/// What a child process does at this moment, for the log of a failed test: how it ended or, for
/// each thread, its state and where it waits. Returns whether it still runs in `runs`.
inline std::string DescribeChild(pid_t process, bool& runs) {
  int status = 0;
  runs = waitpid(process, &status, WNOHANG) == 0;
  if (!runs) {
    return WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                               : "ended with code " + std::to_string(WEXITSTATUS(status));
  }
  std::string text;
  std::error_code error;
  const std::filesystem::path folder = "/proc/" + std::to_string(process);
  for (const auto& thread : std::filesystem::directory_iterator(folder / "task", error)) {
    // The state is the word after the name in parentheses.
    const std::string stat = ReadProcFile(thread.path() / "stat");
    const std::size_t name_end = std::min(stat.rfind(')'), stat.size());
    text += "\nthread " + thread.path().filename().string() + ", state" +
            stat.substr(std::min(name_end + 1, stat.size()), 2) + ", waits in " +
            ReadProcFile(thread.path() / "wchan") + ", system call " +
            ReadProcFile(thread.path() / "syscall");
  }
  return "runs" + text + "\n" + StacksOf(process);
}

}  // namespace masticrill::fakes

#endif  // MASTICRILL_FAKES_PROCESS_STATE_H_
