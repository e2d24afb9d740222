#include "platform/operator_frontend.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "masticrill/config/document.h"

namespace masticrill::platform {
namespace {

using Json = nlohmann::json;

/// The agreed configuration in memory, with faults.
class FakeAccess : public control::OperatorAccess {
 public:
  config::ConfigurationPtr ReadCurrent() override {
    return this->cut_off ? nullptr : this->Parsed();
  }

  control::ChangeOutcome Change(const Planner& plan, const std::string&,
                                const std::string&) override {
    if (this->cut_off) {
      return {false, {ErrorKind::kNoQuorum, "no quorum"}};
    }
    const control::PlannedChange change = plan(*this->Parsed());
    if (change.refused) {
      return {false, *change.refused};
    }
    if (change.merge_patch) {
      ++this->commits;
      this->document =
          HandleErrors([&] { return config::ApplyMergePatch(this->document, *change.merge_patch); },
                       [](const Error&) { return std::string("broken"); });
    }
    if (this->answer_lost) {
      return {false, {ErrorKind::kTimeout, "unknown"}};
    }
    return {true, {}};
  }

  control::ChangeOutcome Declare(const config::Declaration& declaration,
                                 const std::string& author) override {
    return this->Change(
        [&](const config::Configuration& current) {
          return current.declaration.revision >= declaration.revision
                     ? control::PlannedChange{}
                     : control::PlannedChange{config::MakeDeclarationPatch(declaration),
                                              std::nullopt};
        },
        author, "");
  }

  config::ConfigurationPtr Parsed() const {
    return HandleErrors(
        [&]() -> Result<config::ConfigurationPtr> {
          BOOST_LEAF_AUTO(parsed, config::ParseDocument(
                                      this->document, static_cast<config::Number>(this->commits)));
          return std::make_shared<const config::Configuration>(std::move(parsed));
        },
        [](const Error&) { return config::ConfigurationPtr(); });
  }

  std::string document = "{}";
  int commits = 0;
  bool cut_off = false;
  bool answer_lost = false;
};

PlatformSettings Settings() {
  PlatformSettings settings;
  settings.regions = {{FailureDomainId("north"), RegionId("land")}};
  return settings;
}

class Operator {
 public:
  net::HttpAnswer Send(const std::string& method, const std::string& path,
                       const std::string& body = "") {
    net::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    return this->frontend.Answer(request, this->access);
  }

  FakeAccess access;

 private:
  OperatorFrontend frontend{Settings()};
};

std::string Declaration(int version, const std::string& host = "a.example") {
  return Json{{"Version", version},
              {"Routes",
               {{{"Name", "r"},
                 {"Host", host},
                 {"PathPrefix", "/"},
                 {"Kind", "safe"},
                 {"TimeoutMs", 1000},
                 {"Service", "s"}}}},
              {"Services", {{{"Name", "s"}}}}}
      .dump();
}

TEST_CASE("the highest version is in force and is read back as it was sent") {
  Operator sender;
  CHECK(sender.Send("GET", "/v1/config").status == 404);
  CHECK(sender.Send("PUT", "/v1/config", Declaration(5)).status == 200);
  CHECK(sender.Send("GET", "/v1/config").body == Declaration(5));
  CHECK(sender.Send("PUT", "/v1/config", Declaration(9)).status == 200);
  // An older one and other content under the version held are acknowledged and change nothing.
  CHECK(sender.Send("PUT", "/v1/config", Declaration(7)).status == 200);
  CHECK(sender.Send("PUT", "/v1/config", Declaration(9, "other.example")).status == 200);
  CHECK(sender.Send("GET", "/v1/config").body == Declaration(9));
  CHECK(sender.access.commits == 2);
}

TEST_CASE("a configuration whose acknowledgement was lost is acknowledged when it comes again") {
  Operator sender;
  sender.access.answer_lost = true;
  CHECK(sender.Send("PUT", "/v1/config", Declaration(5)).status == 503);
  sender.access.answer_lost = false;
  CHECK(sender.Send("PUT", "/v1/config", Declaration(5)).status == 200);
  CHECK(sender.access.commits == 1);
}

TEST_CASE("an invalid configuration is refused, whatever its version, and changes nothing") {
  Operator sender;
  sender.Send("PUT", "/v1/config", Declaration(5));
  for (const std::string& body :
       {std::string("{"), std::string(), Declaration(9).substr(0, 40),
        std::string(R"({"Version":9,"Routes":[{"Name":"r"}],"Services":[]})")}) {
    CHECK(sender.Send("PUT", "/v1/config", body).status == 400);
  }
  CHECK(sender.Send("GET", "/v1/config").body == Declaration(5));
}

TEST_CASE("a host that is cut off answers 503, never with what it remembers") {
  Operator sender;
  sender.Send("PUT", "/v1/config", Declaration(5));
  sender.access.cut_off = true;
  CHECK(sender.Send("GET", "/v1/config").status == 503);
  CHECK(sender.Send("PUT", "/v1/config", Declaration(6)).status == 503);
  CHECK(sender.Send("GET", "/v1/rollouts/s").status == 503);
  CHECK(sender.Send("POST", "/v1/evacuations/north").status == 503);
}

TEST_CASE("a roll-out is ordered once, however often the order comes") {
  Operator sender;
  const std::string order = R"({"Service":"s","Target":"v2","DurationS":12})";
  CHECK(sender.Send("GET", "/v1/rollouts/s").status == 404);
  CHECK(sender.Send("POST", "/v1/rollouts", order).status == 200);
  CHECK(sender.Send("POST", "/v1/rollouts", order).status == 200);
  CHECK(sender.access.commits == 1);
  const Json state = Json::parse(sender.Send("GET", "/v1/rollouts/s").body);
  CHECK(state == Json{{"State", "running"}, {"Target", "v2"}});
  CHECK(sender.access.Parsed()->service_rollouts.at(ServiceId("s")).duration == seconds(12));
  for (const char* bad : {"{}", "[]", R"({"Service":"s","Target":"v2","DurationS":0})",
                          R"({"Service":"s","Target":5,"DurationS":1})"}) {
    CHECK(sender.Send("POST", "/v1/rollouts", bad).status == 400);
  }
}

TEST_CASE("a roll-out that is ordered anew begins with no session moved") {
  // Failure: the new order inherits the move of the roll-out before it, and skips its trial.
  Operator sender;
  sender.access.document =
      R"({"service_rollouts":{"s":{"target":"v2","duration_ms":12000,"ordered_at":5,
          "state":"completed","reason":"","moved_at":9000}}})";
  REQUIRE(sender.access.Parsed()->service_rollouts.at(ServiceId("s")).moved_at == 9000);
  CHECK(sender.Send("POST", "/v1/rollouts", R"({"Service":"s","Target":"v3","DurationS":12})")
            .status == 200);
  CHECK(sender.access.Parsed()->service_rollouts.at(ServiceId("s")).moved_at == 0);
}

TEST_CASE("a failure domain is taken out and in again, each once") {
  Operator sender;
  CHECK(sender.Send("POST", "/v1/evacuations/north").status == 200);
  CHECK(sender.Send("POST", "/v1/evacuations/north").status == 200);
  CHECK(sender.access.commits == 1);
  const auto state = [&] {
    return sender.access.Parsed()->failure_domains.at(FailureDomainId("north")).state;
  };
  CHECK(state() == config::DomainState::kOut);
  CHECK(sender.Send("DELETE", "/v1/evacuations/north").status == 200);
  CHECK(sender.Send("DELETE", "/v1/evacuations/north").status == 200);
  CHECK(sender.access.commits == 2);
  CHECK(state() == config::DomainState::kIn);
  CHECK(sender.Send("POST", "/v1/evacuations/nowhere").status == 404);
}

TEST_CASE("an operator sees the blocked parts of prompts, and lifts each once") {
  Operator sender;
  CHECK(Json::parse(sender.Send("GET", "/v1/prompt-blocks").body) ==
        Json{{"PromptBlocks", Json::array()}});
  sender.access.document =
      R"({"prompt_blocks":{"5c1e":{"state":"blocked","decided_at":5,"reason":"3 upstreams ended"}}})";
  CHECK(Json::parse(sender.Send("GET", "/v1/prompt-blocks").body)["PromptBlocks"] ==
        Json::array({{{"Part", "5c1e"},
                      {"State", "blocked"},
                      {"DecidedAt", 5},
                      {"Reason", "3 upstreams ended"}}}));
  CHECK(sender.Send("DELETE", "/v1/prompt-blocks/other").status == 404);
  CHECK(sender.Send("DELETE", "/v1/prompt-blocks/5c1e").status == 200);
  CHECK(sender.Send("DELETE", "/v1/prompt-blocks/5c1e").status == 200);
  CHECK(sender.access.commits == 1);
  CHECK(sender.access.Parsed()->prompt_blocks.at(PromptPartId("5c1e")).state ==
        config::PromptBlockState::kLifted);
  CHECK(sender.Send("POST", "/v1/prompt-blocks").status == 405);
  CHECK(sender.Send("GET", "/v1/prompt-blocks/5c1e").status == 405);
  sender.access.cut_off = true;
  CHECK(sender.Send("GET", "/v1/prompt-blocks").status == 503);
  CHECK(sender.Send("DELETE", "/v1/prompt-blocks/5c1e").status == 503);
}

TEST_CASE("unknown paths and methods are refused") {
  Operator sender;
  CHECK(sender.Send("GET", "/v1/other").status == 404);
  CHECK(sender.Send("POST", "/v1/config").status == 405);
  CHECK(sender.Send("GET", "/v1/evacuations/north").status == 405);
  CHECK(sender.Send("GET", "/v1/rollouts/a/b").status == 404);
}

}  // namespace
}  // namespace masticrill::platform
