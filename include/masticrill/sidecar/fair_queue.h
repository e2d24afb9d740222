#ifndef MASTICRILL_SIDECAR_FAIR_QUEUE_H_
#define MASTICRILL_SIDECAR_FAIR_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/common/request_class.h"
#include "masticrill/sidecar/attempt.h"

namespace masticrill::sidecar {

struct QueueOptions {
  /// Maximum number of queued attempts of all classes together.
  std::size_t max_length = 512;

  friend bool operator==(const QueueOptions&, const QueueOptions&) = default;
};

/// Expected tokens of each class, by the class's index.
using ClassTokens = std::array<double, kRequestClassCount>;

struct PushResult {
  bool accepted = false;
  /// The attempt that was removed to make room for the accepted one.
  std::optional<AttemptSpec> displaced;

  friend bool operator==(const PushResult&, const PushResult&) = default;
};

/// Queues attempts with strict priority by class and, within a class, fairly among teams by weight
/// (start-time fair queueing on tokens). Not thread-safe.
class FairQueue {
 public:
  explicit FairQueue(const QueueOptions& options) : options(options) {}

  /// Adds an attempt. In a full queue the new attempt displaces the latest attempt of the least
  /// urgent class below its own, else the latest attempt of the team that has the most queued
  /// attempts per weight in its own class, if its own team would have fewer with it. If there is
  /// neither, the new attempt is not accepted.
  PushResult Push(const AttemptSpec& spec);

  /// Removes and returns the attempt to start next.
  std::optional<AttemptSpec> Pop();

  /// Charges a team for an attempt that starts without having been queued.
  void Charge(const AttemptSpec& spec);

  bool Remove(const AttemptId& attempt);
  /// Removes and returns every attempt for which the predicate holds, the most urgent class first.
  std::vector<AttemptSpec> RemoveIf(const std::function<bool(const AttemptSpec&)>& predicate);

  /// Queued tokens that would be started before the attempt if it were pushed now.
  ClassTokens TokensAhead(const AttemptSpec& spec) const;

  /// Corrects a team's account by the difference between used and expected tokens.
  void CorrectCharge(const AttemptSpec& spec, double used_tokens);

  std::size_t Size() const { return this->index.size(); }
  std::size_t Size(RequestClass request_class) const;
  /// Teams with an account, for tests of the memory bound.
  std::size_t Accounts() const;

 private:
  struct Item {
    AttemptSpec spec;
    std::uint64_t sequence = 0;
  };
  struct Account {
    std::list<Item> items;
    double tokens = 0;
    double weight = 1;
    /// Virtual time at which the team's next attempt starts.
    double start = 0;
  };
  struct ClassQueue {
    std::map<TeamId, Account> accounts;
    double virtual_time = 0;
    /// Moving average of tokens over weight of the attempts pushed or charged.
    double mean_cost = 0;
    double tokens = 0;
    std::size_t size = 0;
  };
  struct Position {
    RequestClass request_class = RequestClass::kTag;
    std::list<Item>::iterator item;
  };

  ClassQueue& QueueOf(RequestClass request_class);
  const ClassQueue& QueueOf(RequestClass request_class) const;
  Account& OpenAccount(const AttemptSpec& spec);
  void Insert(const AttemptSpec& spec);
  AttemptSpec Extract(ClassQueue& queue, Account& account, std::list<Item>::iterator item);
  std::optional<AttemptSpec> MakeRoom(const AttemptSpec& spec);
  std::optional<AttemptSpec> DisplaceLatest(ClassQueue& queue);
  std::optional<AttemptSpec> DisplaceFromLargestShare(ClassQueue& queue, const AttemptSpec& spec);
  static double Credit(const ClassQueue& queue);
  static void DropIdleAccounts(ClassQueue& queue);

  QueueOptions options;
  std::array<ClassQueue, kRequestClassCount> classes;
  std::unordered_map<AttemptId, Position> index;
  std::uint64_t next_sequence = 0;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_FAIR_QUEUE_H_
