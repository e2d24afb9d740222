#include "masticrill/routing/request_identity.h"

#include <doctest/doctest.h>

#include <set>

#include "masticrill/routing/prompt_evidence.h"

namespace masticrill::routing {
namespace {

const RequestIdentity kRequest{"team", "POST", "a.example", "/x/1", "body"};

TEST_CASE("requests are the same one if caller, method, host, path and body are") {
  const PromptPartId id = MakeWholeRequestId(kRequest);
  CHECK(id == MakeWholeRequestId(kRequest));
  CHECK(IsWholeRequest(id));
  std::set<PromptPartId> others;
  for (const RequestIdentity& other :
       {RequestIdentity{"other", "POST", "a.example", "/x/1", "body"},
        RequestIdentity{"team", "PUT", "a.example", "/x/1", "body"},
        RequestIdentity{"team", "POST", "b.example", "/x/1", "body"},
        RequestIdentity{"team", "POST", "a.example", "/x/1?y", "body"},
        RequestIdentity{"team", "POST", "a.example", "/x/1", ""},
        // Bytes that move from one field to the next.
        RequestIdentity{"teamP", "OST", "a.example", "/x/1", "body"},
        RequestIdentity{"team", "POST", "a.example/", "x/1", "body"}}) {
    others.insert(MakeWholeRequestId(other));
  }
  CHECK(others.size() == 7);
  CHECK_FALSE(others.contains(id));
}

TEST_CASE("a caller cannot name a part of a prompt as a whole request") {
  const PromptPartId id = MakeWholeRequestId(kRequest);
  CHECK_FALSE(IsWholeRequest(MakePromptPartId(id.Value())));
  CHECK_FALSE(IsWholeRequest(MakePromptPartId("request.")));
  CHECK(MakePromptPartId("requests").Value() == "requests");
}

}  // namespace
}  // namespace masticrill::routing
