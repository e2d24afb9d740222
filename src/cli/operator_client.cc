#include "cli/operator_client.h"

#include <Poco/String.h>

#include <boost/program_options/value_semantic.hpp>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace masticrill::cli {
namespace {

namespace options = boost::program_options;

constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kReadTimeout{15000};
constexpr int kOk = 200;
constexpr int kPreconditionFailed = 412;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;

std::string OptionOrEnvironment(const Arguments& arguments, const char* option,
                                const char* variable) {
  if (arguments.contains(option)) {
    return arguments[option].as<std::string>();
  }
  const char* value = std::getenv(variable);
  return value == nullptr ? "" : value;
}

std::vector<std::string> SplitAddresses(const std::string& text) {
  std::vector<std::string> addresses;
  std::istringstream stream(text);
  std::string address;
  while (std::getline(stream, address, ',')) {
    if (!address.empty()) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

Result<std::string> ReadKey(const Arguments& arguments) {
  if (!arguments.contains("key-file")) {
    return OptionOrEnvironment(arguments, "key", "MASTICRILL_KEY");
  }
  const std::string path = arguments["key-file"].as<std::string>();
  std::ifstream file(path);
  std::string key;
  if (!std::getline(file, key)) {
    return Fail(ErrorKind::kInvalidArgument, path + " holds no key. Check the path.");
  }
  return key;
}

}  // namespace

void DeclareOperatorOptions(options::options_description& description) {
  description.add_options()(
      "control", options::value<std::string>(),
      "IP:PORT of a control host's HTTP interface, several separated by commas; else from "
      "MASTICRILL_CONTROL.")("key", options::value<std::string>(),
                             "The operator's key; else from MASTICRILL_KEY.")(
      "key-file", options::value<std::string>(), "A file whose first line is the operator's key.")(
      "json", "Print the control host's JSON.");
}

Result<net::HttpAnswer> CallControl(const Arguments& arguments, net::HttpCall call) {
  const std::vector<std::string> addresses =
      SplitAddresses(OptionOrEnvironment(arguments, "control", "MASTICRILL_CONTROL"));
  if (addresses.empty()) {
    return Fail(ErrorKind::kInvalidArgument,
                "no control host is named. Add --control IP:PORT or set MASTICRILL_CONTROL.");
  }
  BOOST_LEAF_AUTO(key, ReadKey(arguments));
  if (!key.empty()) {
    call.headers.push_back({"Authorization", "Bearer " + key});
  }
  std::string last_message;
  for (const std::string& address : addresses) {
    net::HttpClient client(address,
                           {.connect_timeout = kConnectTimeout, .read_timeout = kReadTimeout});
    std::optional<net::HttpAnswer> answer = HandleErrors(
        [&]() -> Result<std::optional<net::HttpAnswer>> {
          BOOST_LEAF_AUTO(received, client.Call(call));
          return std::optional(std::move(received));
        },
        [&](const Error& error) {
          last_message = error.message;
          return std::optional<net::HttpAnswer>();
        });
    if (answer) {
      return *std::move(answer);
    }
  }
  return Fail(ErrorKind::kUnavailable, last_message);
}

Result<net::HttpAnswer> CallControlOk(const Arguments& arguments, net::HttpCall call) {
  BOOST_LEAF_AUTO(answer, CallControl(arguments, std::move(call)));
  if (answer.status != kOk) {
    return FailFrom(answer);
  }
  return answer;
}

boost::leaf::error_id FailFrom(const net::HttpAnswer& answer) {
  const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
  const bool has_message =
      body.is_object() && body.contains("message") && body["message"].is_string();
  const std::string message =
      has_message ? body["message"].get<std::string>()
                  : "The control host answered with status " + std::to_string(answer.status) + ".";
  switch (answer.status) {
    case kPreconditionFailed:
      return Fail(ErrorKind::kStaleConfiguration, message);
    case kUnauthorized:
      return Fail(ErrorKind::kUnauthenticated, message);
    case kForbidden:
      return Fail(ErrorKind::kForbidden, message);
    default:
      return Fail(ErrorKind::kConflict, message);
  }
}

std::string HeaderOf(const net::HttpAnswer& answer, std::string_view name) {
  for (const net::HeaderField& field : answer.headers) {
    if (Poco::icompare(field.name, std::string(name)) == 0) {
      return field.value;
    }
  }
  return "";
}

}  // namespace masticrill::cli
