#include "masticrill/common/log.h"

#include <easylogging++.h>

#include <array>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <deque>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace masticrill {
namespace {

LogOptions& CurrentOptions() {
  static LogOptions options;
  return options;
}

std::string RenderLine(LogPart part, LogLevel level, std::string_view sentence,
                       Logger::Fields fields);

/// Lines that wait for the writer. Beyond the second bound those of info and below are dropped, so
/// that warnings find room when successes flood the log.
constexpr std::size_t kMaxWaitingLines = 4096;
constexpr std::size_t kMaxWaitingInfoLines = 3072;

void WriteNow(LogLevel level, const std::string& line) {
  switch (level) {
    case LogLevel::kDebug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
  }
}

/// The queue in front of the thread that writes. Lives as long as the process.
class LineQueue {
 public:
  static LineQueue& Instance() {
    static auto* const kQueue = new LineQueue;
    return *kQueue;
  }

  void Start() {
    const std::scoped_lock lock(this->mutex);
    if (!std::exchange(this->started, true)) {
      std::thread([this] { this->Run(); }).detach();
    }
  }

  void Push(LogLevel level, std::string line) {
    const std::scoped_lock lock(this->mutex);
    const std::size_t bound = level >= LogLevel::kWarning ? kMaxWaitingLines : kMaxWaitingInfoLines;
    if (this->lines.size() >= bound) {
      ++this->dropped;
      return;
    }
    this->lines.emplace_back(level, std::move(line));
    this->changed.notify_one();
  }

  std::uint64_t Dropped() {
    const std::scoped_lock lock(this->mutex);
    return this->dropped;
  }

  void Flush(std::chrono::milliseconds timeout) {
    std::unique_lock lock(this->mutex);
    this->written.wait_for(lock, timeout, [this] { return this->lines.empty() && !this->writing; });
  }

 private:
  void Run() {
    std::uint64_t told = 0;
    std::unique_lock lock(this->mutex);
    while (true) {
      this->changed.wait(lock, [this] { return !this->lines.empty(); });
      const auto [level, line] = std::move(this->lines.front());
      this->lines.pop_front();
      const std::uint64_t lost = this->dropped - std::exchange(told, this->dropped);
      this->writing = true;
      lock.unlock();
      if (lost > 0) {
        WriteNow(LogLevel::kWarning, RenderLine(LogPart::kCommon, LogLevel::kWarning,
                                                "Log lines were dropped: their reader is too slow.",
                                                {{"lines", lost}}));
      }
      WriteNow(level, line);
      lock.lock();
      this->writing = false;
      this->written.notify_all();
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::condition_variable written;
  std::deque<std::pair<LogLevel, std::string>> lines;
  std::uint64_t dropped = 0;
  bool writing = false;
  bool started = false;
};

std::string_view Prefix(LogPart part) {
  switch (part) {
    case LogPart::kCommon:
      return "common";
    case LogPart::kConfig:
      return "config";
    case LogPart::kStorage:
      return "storage";
    case LogPart::kConsensus:
      return "consensus";
    case LogPart::kState:
      return "state";
    case LogPart::kRouting:
      return "routing";
    case LogPart::kNet:
      return "net";
    case LogPart::kEntry:
      return "entry";
    case LogPart::kSidecar:
      return "sidecar";
    case LogPart::kControl:
      return "control";
    case LogPart::kGateway:
      return "gateway";
    case LogPart::kPlatform:
      return "platform";
    case LogPart::kPlugin:
      return "plugin";
    case LogPart::kCli:
      return "cli";
  }
  return "common";
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

/// A line break in a value would let it forge a second log line.
std::string OneLine(std::string_view value) {
  std::string line(value);
  for (char& character : line) {
    if (static_cast<unsigned char>(character) < ' ') {
      character = ' ';
    }
  }
  return line;
}

std::string TextLine(LogPart part, std::string_view sentence, Logger::Fields fields) {
  std::string line = "[" + std::string(Prefix(part)) + "] " + OneLine(sentence);
  for (const LogField& field : fields) {
    line += " " + std::string(field.key) + "=" + OneLine(field.value);
  }
  return line;
}

/// The time of day as 2026-12-04T01:02:03.456Z.
std::string NowText() {
  constexpr std::size_t kTextBytes = 32;
  constexpr std::int64_t kMsPerSecond = 1000;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const std::time_t whole = now.count() / kMsPerSecond;
  std::tm fields{};
  gmtime_r(&whole, &fields);
  std::array<char, kTextBytes> text{};
  const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &fields);
  std::array<char, kTextBytes> fraction{};
  const int digits = std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                                   static_cast<int>(now.count() % kMsPerSecond));
  return std::string(text.data(), size) +
         std::string(fraction.data(), static_cast<std::size_t>(digits));
}

std::string JsonLine(LogPart part, LogLevel level, std::string_view sentence,
                     Logger::Fields fields) {
  nlohmann::ordered_json line;
  line["time"] = NowText();
  line["level"] = LevelName(level);
  line["part"] = Prefix(part);
  line["message"] = sentence;
  for (const LogField& field : fields) {
    line[std::string(field.key)] = field.value;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string RenderLine(LogPart part, LogLevel level, std::string_view sentence,
                       Logger::Fields fields) {
  return CurrentOptions().json ? JsonLine(part, level, sentence, fields)
                               : TextLine(part, sentence, fields);
}

}  // namespace

std::uint64_t DroppedLogLines() { return LineQueue::Instance().Dropped(); }

void FlushLog(std::chrono::milliseconds timeout) {
  if (CurrentOptions().queued) {
    LineQueue::Instance().Flush(timeout);
  }
}

void ConfigureLog(const LogOptions& options) {
  CurrentOptions() = options;
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configurations.setGlobally(el::ConfigurationType::Format,
                             options.json ? "%msg" : "%datetime %level %msg");
  el::Loggers::reconfigureAllLoggers(configurations);
  if (options.queued) {
    LineQueue::Instance().Start();
  }
}

void Logger::Write(LogLevel level, std::string_view sentence, Fields fields) const {
  const LogOptions& options = CurrentOptions();
  if (level < options.level) {
    return;
  }
  std::string line = RenderLine(this->part, level, sentence, fields);
  if (options.queued) {
    LineQueue::Instance().Push(level, std::move(line));
  } else {
    WriteNow(level, line);
  }
}

void Logger::Debug(std::string_view sentence, Fields fields) const {
  this->Write(LogLevel::kDebug, sentence, fields);
}
void Logger::Info(std::string_view sentence, Fields fields) const {
  this->Write(LogLevel::kInfo, sentence, fields);
}
void Logger::Warning(std::string_view sentence, Fields fields) const {
  this->Write(LogLevel::kWarning, sentence, fields);
}
void Logger::Error(std::string_view sentence, Fields fields) const {
  this->Write(LogLevel::kError, sentence, fields);
}

}  // namespace masticrill
