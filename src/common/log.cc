#include "masticrill/common/log.h"

#include <easylogging++.h>

#include <iostream>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace masticrill {
namespace {

LogOptions& CurrentOptions() {
  static LogOptions options;
  return options;
}

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

std::string JsonLine(LogPart part, LogLevel level, std::string_view sentence,
                     Logger::Fields fields) {
  nlohmann::ordered_json line;
  line["level"] = LevelName(level);
  line["part"] = Prefix(part);
  line["message"] = sentence;
  for (const LogField& field : fields) {
    line[std::string(field.key)] = field.value;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void ConfigureLog(const LogOptions& options) {
  CurrentOptions() = options;
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configurations.setGlobally(el::ConfigurationType::Format,
                             options.json ? "%msg" : "%datetime %level %msg");
  el::Loggers::reconfigureAllLoggers(configurations);
}

void Logger::Write(LogLevel level, std::string_view sentence, Fields fields) const {
  const LogOptions& options = CurrentOptions();
  if (level < options.level) {
    return;
  }
  const std::string line = options.json ? JsonLine(this->part, level, sentence, fields)
                                        : TextLine(this->part, sentence, fields);
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
