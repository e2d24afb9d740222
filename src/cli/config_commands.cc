#include <boost/program_options/value_semantic.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/command.h"
#include "cli/operator_client.h"
#include "masticrill/common/random.h"

namespace masticrill::cli {
namespace {

namespace options = boost::program_options;
using Json = nlohmann::json;

constexpr int kPatchIdBytes = 12;
/// A patch whose answer was lost is sent again under the same id.
constexpr int kPatchTries = 3;

Result<std::string> ReadText(const std::string& path) {
  std::ostringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorKind::kNotFound, path + " cannot be read. Check the path.");
  }
  text << file.rdbuf();
  return text.str();
}

Result<int> GetConfig(const Arguments& arguments) {
  const bool history = arguments.contains("history");
  BOOST_LEAF_AUTO(
      answer, CallControlOk(arguments, {.path = history ? "/v1/config/history" : "/v1/config"}));
  if (arguments.contains("json") || history) {
    std::cout << Json::parse(answer.body, nullptr, false).dump(2) << "\n";
    return kExitSuccess;
  }
  std::cerr << "number " << HeaderOf(answer, "ETag") << "\n";
  std::cout << Json::parse(answer.body, nullptr, false).dump(2) << "\n";
  return kExitSuccess;
}

/// Sends a change and prints the number that it made. `call` lacks the headers of the change.
Result<int> SendChange(const Arguments& arguments, net::HttpCall call) {
  if (!arguments.contains("if-match")) {
    return Fail(ErrorKind::kInvalidArgument,
                "the number that the change is for is missing. Add --if-match N; "
                "'masticrill config get' shows it.");
  }
  const std::string id =
      arguments.contains("id") ? arguments["id"].as<std::string>() : SecureRandomHex(kPatchIdBytes);
  call.headers = {
      {"If-Match", "\"" + std::to_string(arguments["if-match"].as<std::uint64_t>()) + "\""},
      {"Idempotency-Key", id},
      {"Content-Type", "application/merge-patch+json"}};
  if (arguments.contains("reason")) {
    call.headers.push_back({"X-Change-Reason", arguments["reason"].as<std::string>()});
  }
  for (int attempt = 1;; ++attempt) {
    const std::optional<net::HttpAnswer> answer = HandleErrors(
        [&]() -> Result<std::optional<net::HttpAnswer>> {
          BOOST_LEAF_AUTO(received, CallControl(arguments, call));
          return std::optional(std::move(received));
        },
        [&](const Error& error) -> std::optional<net::HttpAnswer> {
          std::cerr << "masticrill: " << error.message << "\n";
          return std::nullopt;
        });
    if (answer && answer->status == 200) {
      std::cout << (arguments.contains("json") ? answer->body
                                               : "accepted: number " + HeaderOf(*answer, "ETag"))
                << "\n";
      return kExitSuccess;
    }
    if (answer && answer->status != 503) {
      return FailFrom(*answer);
    }
    if (attempt == kPatchTries) {
      return Fail(ErrorKind::kUnavailable,
                  "the change may or may not have been accepted. Send it again with --id " + id +
                      ": it is then accepted once.");
    }
  }
}

Result<int> PatchConfig(const Arguments& arguments) {
  if (!arguments.contains("FILE")) {
    return Fail(ErrorKind::kInvalidArgument,
                "the patch is missing. Name its FILE, or - for input.");
  }
  BOOST_LEAF_AUTO(body, ReadText(arguments["FILE"].as<std::string>()));
  return SendChange(arguments, {.method = "PATCH", .path = "/v1/config", .body = body});
}

Result<int> RollbackConfig(const Arguments& arguments) {
  if (!arguments.contains("NUMBER")) {
    return Fail(ErrorKind::kInvalidArgument, "the NUMBER to go back to is missing.");
  }
  const Json body = {{"to", arguments["NUMBER"].as<std::uint64_t>()}};
  return SendChange(arguments,
                    {.method = "POST", .path = "/v1/config/rollback", .body = body.dump()});
}

void DeclareChangeOptions(options::options_description& description) {
  description.add_options()("if-match", options::value<std::uint64_t>(),
                            "The configuration number that the change is for.")(
      "id", options::value<std::string>(),
      "The change's id. The same id again returns the first result.")(
      "reason", options::value<std::string>(), "Why, for the history.");
}

}  // namespace

Command ConfigGetCommand() {
  return {"config get",
          "Print the configuration and its number.",
          {"masticrill config get --control 10.0.0.1:7001"},
          [](auto& description) {
            DeclareOperatorOptions(description);
            description.add_options()("history", "Print the accepted changes instead.");
          },
          {},
          GetConfig};
}

Command ConfigPatchCommand() {
  return {"config patch",
          "Change the configuration by a JSON merge patch.",
          {"echo '{\"failure_domains\":{\"north-a\":{\"state\":\"out\"}}}' |",
           "  masticrill config patch - --if-match 7 --reason 'power work'"},
          [](auto& description) {
            DeclareOperatorOptions(description);
            DeclareChangeOptions(description);
            description.add_options()("FILE", options::value<std::string>(),
                                      "The patch; - reads standard input.");
          },
          {"FILE"},
          PatchConfig};
}

Command ConfigRollbackCommand() {
  return {"config rollback",
          "Make an earlier configuration the newest one.",
          {"masticrill config rollback 6 --if-match 7 --reason 'v2 is wrong'"},
          [](auto& description) {
            DeclareOperatorOptions(description);
            DeclareChangeOptions(description);
            description.add_options()("NUMBER", options::value<std::uint64_t>(),
                                      "The number to go back to.");
          },
          {"NUMBER"},
          RollbackConfig};
}

}  // namespace masticrill::cli
