#ifndef MASTICRILL_COMMON_LOG_H_
#define MASTICRILL_COMMON_LOG_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "masticrill/common/name.h"

namespace masticrill {

/// The part of the system that a log line comes from. Its name is the fixed prefix of the line.
enum class LogPart {
  kCommon,
  kConfig,
  kStorage,
  kConsensus,
  kState,
  kRouting,
  kNet,
  kEntry,
  kSidecar,
  kControl,
  kGateway,
  kPlatform,
  kPlugin,
  kCli,
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One key and value behind the sentence of a log line.
struct LogField {
  LogField(std::string_view key, std::string value) : key(key), value(std::move(value)) {}
  LogField(std::string_view key, std::string_view value) : key(key), value(value) {}
  LogField(std::string_view key, const char* value) : key(key), value(value) {}
  LogField(std::string_view key, bool value) : key(key), value(value ? "true" : "false") {}
  template <std::integral Integer>
  LogField(std::string_view key, Integer value) : key(key), value(std::to_string(value)) {}
  template <std::floating_point Float>
  LogField(std::string_view key, Float value) : key(key), value(std::to_string(value)) {}
  template <typename Tag>
  LogField(std::string_view key, const Name<Tag>& name) : key(key), value(name.Value()) {}

  std::string_view key;
  std::string value;
};

struct LogOptions {
  LogLevel level = LogLevel::kInfo;
  /// One JSON object per line instead of text.
  bool json = false;
  /// Write on a thread of its own, so that a reader that stops holds up nothing. Lines beyond a
  /// bound are dropped, those of low levels first, and counted.
  bool queued = false;
};

/// Sets the level and the form of all log lines. Called once, before any thread is started.
void ConfigureLog(const LogOptions& options);

/// Lines that were dropped because their reader was too slow.
std::uint64_t DroppedLogLines();

/// Waits until the queued lines are written, at most for that time. Called before a process ends.
void FlushLog(std::chrono::milliseconds timeout);

/// Writes the log lines of one part, to standard output.
class Logger {
 public:
  using Fields = std::initializer_list<LogField>;

  explicit constexpr Logger(LogPart part) : part(part) {}

  void Debug(std::string_view sentence, Fields fields = {}) const;
  void Info(std::string_view sentence, Fields fields = {}) const;
  void Warning(std::string_view sentence, Fields fields = {}) const;
  void Error(std::string_view sentence, Fields fields = {}) const;

 private:
  void Write(LogLevel level, std::string_view sentence, Fields fields) const;

  LogPart part;
};

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_LOG_H_
