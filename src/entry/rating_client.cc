#include "entry/rating_client.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace masticrill::entry {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kRatePath = "/rate";

net::AttemptRequest MakeAttempt(const config::Configuration& configuration,
                                const CallerRequest& request, const AttemptId& attempt,
                                const std::string& answer, Duration timeout) {
  const Json body = {{"request", Json::parse(request.body, nullptr, false)}, {"answer", answer}};
  net::AttemptRequest message;
  message.attempt = attempt;
  message.request = request.traits.id;
  message.team = request.traits.team;
  message.request_class = request.traits.request_class;
  message.service = configuration.rating.service;
  message.deadline_left_ms = duration_cast<milliseconds>(timeout).count();
  message.configuration_number = configuration.number;
  message.expected_tokens = 1;
  message.method = "POST";
  message.path = kRatePath;
  message.headers = {{"Content-Type", "application/json"}};
  message.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return message;
}

routing::Rating ReadScore(const std::string& body) {
  const Json answer = Json::parse(body, nullptr, false);
  if (!answer.is_object() || !answer.contains("score") || !answer["score"].is_number()) {
    return {routing::RatingOutcome::kFailed, 0};
  }
  return {routing::RatingOutcome::kScore, answer["score"].get<double>()};
}

/// Collects the frames of the rating until it ends or the time is over.
routing::Rating AwaitScore(EntryServices& services, net::Exchange& exchange, TimePoint end) {
  std::string body;
  int status = 0;
  while (true) {
    const Duration left = end - services.clock.Now();
    if (left <= Duration(0)) {
      return {routing::RatingOutcome::kLate, 0};
    }
    const net::FrameQueue::Next next = exchange.WaitNext(left);
    if (next.status == net::FrameQueue::Status::kTimeout) {
      return {routing::RatingOutcome::kLate, 0};
    }
    if (next.status == net::FrameQueue::Status::kClosed) {
      return {routing::RatingOutcome::kFailed, 0};
    }
    switch (next.frame.type) {
      case net::MessageType::kAttemptStarted:
        break;
      case net::MessageType::kAttemptChunk: {
        const net::AttemptChunk chunk =
            HandleErrors([&] { return net::DecodePayload<net::AttemptChunk>(next.frame.payload); },
                         [](const Error&) { return net::AttemptChunk{}; });
        status = chunk.sequence == 0 ? chunk.http_status : status;
        body += chunk.data;
        break;
      }
      case net::MessageType::kAttemptEnd:
        return status == 200 ? ReadScore(body) : routing::Rating{};
      default:
        return {routing::RatingOutcome::kFailed, 0};
    }
  }
}

}  // namespace

routing::Rating RateAnswer(EntryServices& services, const routing::UpstreamDirectory& directory,
                           const CallerRequest& request, const AttemptId& attempt,
                           const std::string& answer, Duration timeout, Random& random) {
  const config::Configuration& configuration = directory.Config();
  if (!configuration.rating.service) {
    return {routing::RatingOutcome::kFailed, 0};
  }
  const TimePoint start = services.clock.Now();
  const routing::UpstreamDecision choice =
      routing::ChooseUpstream(directory.UpstreamsOffering(*configuration.rating.service),
                              services.table, {}, services.options.request.choice, start, random);
  const std::shared_ptr<net::RpcClient> client =
      choice.upstream ? services.links->Find(*choice.upstream) : nullptr;
  if (client == nullptr) {
    return {routing::RatingOutcome::kFailed, 0};
  }
  return HandleErrors(
      [&]() -> Result<routing::Rating> {
        BOOST_LEAF_AUTO(
            exchange, client->Open(MakeAttempt(configuration, request, attempt, answer, timeout)));
        const routing::Rating rating = AwaitScore(services, *exchange, start + timeout);
        if (rating.outcome != routing::RatingOutcome::kScore) {
          client->Send(*exchange, net::CancelAttempt{attempt});
        }
        client->Finish(*exchange);
        return rating;
      },
      [](const Error&) {
        return routing::Rating{routing::RatingOutcome::kFailed, 0};
      });
}

}  // namespace masticrill::entry
