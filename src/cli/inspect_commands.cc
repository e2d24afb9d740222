#include <boost/program_options/value_semantic.hpp>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "cli/operator_client.h"
#include "masticrill/state/codec.h"
#include "masticrill/state/records.h"

namespace masticrill::cli {
namespace {

namespace options = boost::program_options;
using Json = nlohmann::json;

Result<Json> GetJson(const Arguments& arguments, const std::string& path) {
  BOOST_LEAF_AUTO(answer, CallControlOk(arguments, {.path = path}));
  Json body = Json::parse(answer.body, nullptr, false);
  if (body.is_discarded()) {
    return Fail(ErrorKind::kMalformedMessage,
                "the control host sent no JSON. Check that --control names its HTTP address.");
  }
  return body;
}

std::string Text(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || found->is_null()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

void PrintNodes(const Json& nodes) {
  std::cout << std::left << std::setw(24) << "node" << std::setw(10) << "role" << std::setw(9)
            << "number" << std::setw(12) << "lease ms" << std::setw(16) << "control host"
            << "address\n";
  for (const Json& node : nodes) {
    std::cout << std::left << std::setw(24) << Text(node, "node") << std::setw(10)
              << Text(node, "role") << std::setw(9) << Text(node, "number") << std::setw(12)
              << Text(node, "last_lease_request_ms_ago") << std::setw(16)
              << Text(node, "control_host") << Text(node, "address") << "\n";
  }
}

void PrintReplica(const Json& replica) {
  std::cout << "replica " << Text(replica, "node") << ": " << Text(replica, "role") << ", term "
            << Text(replica, "term") << ", leader " << Text(replica, "leader") << ", commit "
            << Text(replica, "commit") << ", applied " << Text(replica, "applied") << ", "
            << replica.value("voters", Json::array()).size() << " voters\n";
}

Result<int> ShowStatus(const Arguments& arguments) {
  BOOST_LEAF_AUTO(status, GetJson(arguments, "/v1/status"));
  if (arguments.contains("json")) {
    std::cout << status.dump(2) << "\n";
    return kExitSuccess;
  }
  std::cout << "number " << Text(status, "number") << ", in force everywhere "
            << Text(status, "in_force_everywhere") << "\n";
  PrintReplica(status.value("replica", Json::object()));
  PrintNodes(status.value("nodes", Json::array()));
  return kExitSuccess;
}

Result<int> ShowConfigStatus(const Arguments& arguments) {
  BOOST_LEAF_AUTO(status, GetJson(arguments, "/v1/status"));
  const std::uint64_t number = status.value("number", std::uint64_t{0});
  if (arguments.contains("json")) {
    std::cout << Json{{"number", status["number"]},
                      {"in_force_everywhere", status["in_force_everywhere"]}}
                     .dump()
              << "\n";
    return kExitSuccess;
  }
  std::cout << "number " << number << ", in force everywhere "
            << Text(status, "in_force_everywhere") << "\n";
  for (const Json& node : status.value("nodes", Json::array())) {
    if (node.value("number", std::uint64_t{0}) < number) {
      std::cout << "behind: " << Text(node, "node") << " has number " << Text(node, "number")
                << ", last seen " << Text(node, "last_lease_request_ms_ago") << " ms ago\n";
    }
  }
  return kExitSuccess;
}

Result<int> Explain(const Arguments& arguments) {
  if (!arguments.contains("ID")) {
    return Fail(ErrorKind::kInvalidArgument,
                "the request's ID is missing. It is the X-Request-Id of the answer.");
  }
  BOOST_LEAF_AUTO(answer, GetJson(arguments, "/v1/requests/" + arguments["ID"].as<std::string>()));
  if (arguments.contains("json")) {
    std::cout << answer.dump(2) << "\n";
    return kExitSuccess;
  }
  for (const Json& line : answer.value("lines", Json::array())) {
    std::cout << line.get<std::string>() << "\n";
  }
  return kExitSuccess;
}

Result<int> ShowLedger(const Arguments& arguments) {
  BOOST_LEAF_AUTO(ledger, GetJson(arguments, "/v1/ledger"));
  std::cout << ledger.dump(2) << "\n";
  return kExitSuccess;
}

std::string FromHex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

/// The kept records of the outcome log, as the control host hands them out in pages.
struct FetchedChain {
  state::ChainPoint start;
  std::vector<state::ChainedRecord> records;
  state::ChainPoint head;
};

Result<FetchedChain> FetchChain(const Arguments& arguments) {
  FetchedChain chain;
  std::uint64_t after = 0;
  while (true) {
    BOOST_LEAF_AUTO(page, GetJson(arguments, "/v1/ledger/records?after=" + std::to_string(after)));
    chain.head = {page["head"].value("sequence", std::uint64_t{0}),
                  page["head"].value("hash", std::string())};
    const Json records = page.value("records", Json::array());
    for (const Json& each : records) {
      BOOST_LEAF_AUTO(record, state::DecodeRecord(FromHex(Text(each, "encoded"))));
      after = record.sequence;
      chain.records.push_back(std::move(record));
    }
    if (records.empty() || after >= chain.head.sequence) {
      return chain;
    }
  }
}

Result<int> VerifyLedger(const Arguments& arguments) {
  BOOST_LEAF_AUTO(chain, FetchChain(arguments));
  chain.start = state::ChainStart();
  if (!chain.records.empty() && chain.records.front().sequence > 1) {
    // The host no longer keeps the beginning; the first kept record is where this check begins.
    chain.start = {chain.records.front().sequence, chain.records.front().hash};
    chain.records.erase(chain.records.begin());
  }
  const state::ChainVerdict verdict = state::VerifyChain(chain.start, chain.records, chain.head);
  if (!verdict.intact) {
    return Fail(ErrorKind::kCorruptStorage, "the outcome log is damaged at record " +
                                                std::to_string(verdict.first_bad_sequence) + ": " +
                                                verdict.message);
  }
  std::cout << "intact: records " << chain.start.sequence + 1 << " to " << chain.head.sequence
            << ", head " << chain.head.hash << "\n";
  return kExitSuccess;
}

}  // namespace

Command StatusCommand() {
  return {"status",
          "Show the replicas and every node with the number in force.",
          {"masticrill status --control 10.0.0.1:7001"},
          DeclareOperatorOptions,
          {},
          ShowStatus};
}

Command ConfigStatusCommand() {
  return {"config status",
          "Show whether the newest configuration is in force everywhere.",
          {},
          DeclareOperatorOptions,
          {},
          ShowConfigStatus};
}

Command ExplainCommand() {
  return {"explain",
          "Tell what became of a request and why.",
          {"masticrill explain entry-1-17-42"},
          [](auto& description) {
            DeclareOperatorOptions(description);
            description.add_options()("ID", options::value<std::string>(), "The X-Request-Id.");
          },
          {"ID"},
          Explain};
}

Command LedgerCommand() {
  return {"ledger",  "Show the totals of requests and charges.", {}, DeclareOperatorOptions, {},
          ShowLedger};
}

Command LedgerVerifyCommand() {
  return {"ledger verify",
          "Check the chain of the outcome log for cuts and edits.",
          {},
          DeclareOperatorOptions,
          {},
          VerifyLedger};
}

}  // namespace masticrill::cli
