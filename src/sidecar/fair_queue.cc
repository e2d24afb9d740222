#include "masticrill/sidecar/fair_queue.h"

#include <algorithm>
#include <utility>

namespace masticrill::sidecar {
namespace {

/// Maximum credit of a team that had nothing queued, in attempts of average cost. Credit is given
/// because short deadlines keep queues so short that even a team below its share often has nothing
/// queued for a moment.
constexpr double kCreditAttempts = 8;
/// Weight of an attempt in the average cost.
constexpr double kCostWeight = 0.05;

double TokensOf(const AttemptSpec& spec) { return std::max(1U, spec.expected_tokens); }

double WeightOf(const AttemptSpec& spec) { return std::max(1U, spec.team_weight); }

std::size_t IndexOf(RequestClass request_class) { return static_cast<std::size_t>(request_class); }

}  // namespace

FairQueue::ClassQueue& FairQueue::QueueOf(RequestClass request_class) {
  return this->classes.at(IndexOf(request_class));
}

const FairQueue::ClassQueue& FairQueue::QueueOf(RequestClass request_class) const {
  return this->classes.at(IndexOf(request_class));
}

PushResult FairQueue::Push(const AttemptSpec& spec) {
  if (this->index.contains(spec.attempt)) {
    return {};
  }
  PushResult result;
  if (this->index.size() >= this->options.max_length) {
    result.displaced = this->MakeRoom(spec);
    if (!result.displaced) {
      return result;
    }
  }
  this->Insert(spec);
  result.accepted = true;
  return result;
}

FairQueue::Account& FairQueue::OpenAccount(const AttemptSpec& spec) {
  ClassQueue& queue = this->QueueOf(spec.request_class);
  const auto [it, added] = queue.accounts.try_emplace(spec.team);
  Account& account = it->second;
  account.weight = WeightOf(spec);
  const double cost = TokensOf(spec) / account.weight;
  queue.mean_cost += (queue.mean_cost == 0 ? 1 : kCostWeight) * (cost - queue.mean_cost);
  if (added) {
    account.start = queue.virtual_time;
  } else if (account.items.empty()) {
    account.start = std::max(account.start, queue.virtual_time - Credit(queue));
  }
  return account;
}

void FairQueue::Charge(const AttemptSpec& spec) {
  ClassQueue& queue = this->QueueOf(spec.request_class);
  Account& account = this->OpenAccount(spec);
  queue.virtual_time = std::max(queue.virtual_time, account.start);
  account.start += TokensOf(spec) / account.weight;
  DropIdleAccounts(queue);
}

void FairQueue::Insert(const AttemptSpec& spec) {
  ClassQueue& queue = this->QueueOf(spec.request_class);
  Account& account = this->OpenAccount(spec);
  account.items.push_back(Item{spec, this->next_sequence});
  this->next_sequence += 1;
  account.tokens += TokensOf(spec);
  queue.tokens += TokensOf(spec);
  queue.size += 1;
  this->index[spec.attempt] = Position{spec.request_class, std::prev(account.items.end())};
}

AttemptSpec FairQueue::Extract(ClassQueue& queue, Account& account,
                               std::list<Item>::iterator item) {
  AttemptSpec spec = std::move(item->spec);
  account.items.erase(item);
  account.tokens -= TokensOf(spec);
  queue.tokens -= TokensOf(spec);
  queue.size -= 1;
  this->index.erase(spec.attempt);
  return spec;
}

std::optional<AttemptSpec> FairQueue::Pop() {
  for (ClassQueue& queue : this->classes) {
    if (queue.size == 0) {
      continue;
    }
    Account* first = nullptr;
    for (auto& [team, account] : queue.accounts) {
      if (!account.items.empty() && (first == nullptr || account.start < first->start)) {
        first = &account;
      }
    }
    if (first == nullptr) {
      return std::nullopt;
    }
    queue.virtual_time = std::max(queue.virtual_time, first->start);
    AttemptSpec spec = this->Extract(queue, *first, first->items.begin());
    first->start += TokensOf(spec) / WeightOf(spec);
    DropIdleAccounts(queue);
    return spec;
  }
  return std::nullopt;
}

double FairQueue::Credit(const ClassQueue& queue) { return kCreditAttempts * queue.mean_cost; }

void FairQueue::DropIdleAccounts(ClassQueue& queue) {
  const double oldest = queue.virtual_time - Credit(queue);
  std::erase_if(queue.accounts, [oldest](const auto& entry) {
    return entry.second.items.empty() && entry.second.start <= oldest;
  });
}

bool FairQueue::Remove(const AttemptId& attempt) {
  const auto it = this->index.find(attempt);
  if (it == this->index.end()) {
    return false;
  }
  const Position found = it->second;
  ClassQueue& queue = this->QueueOf(found.request_class);
  this->Extract(queue, queue.accounts.at(found.item->spec.team), found.item);
  DropIdleAccounts(queue);
  return true;
}

std::vector<AttemptSpec> FairQueue::RemoveIf(
    const std::function<bool(const AttemptSpec&)>& predicate) {
  std::vector<AttemptSpec> removed;
  for (ClassQueue& queue : this->classes) {
    for (auto& [team, account] : queue.accounts) {
      for (auto item = account.items.begin(); item != account.items.end();) {
        const auto current = item++;
        if (predicate(current->spec)) {
          removed.push_back(this->Extract(queue, account, current));
        }
      }
    }
    DropIdleAccounts(queue);
  }
  return removed;
}

std::optional<AttemptSpec> FairQueue::MakeRoom(const AttemptSpec& spec) {
  for (std::size_t lowest = kRequestClassCount; lowest-- > IndexOf(spec.request_class) + 1;) {
    if (ClassQueue& queue = this->classes.at(lowest); queue.size > 0) {
      return this->DisplaceLatest(queue);
    }
  }
  return this->DisplaceFromLargestShare(this->QueueOf(spec.request_class), spec);
}

std::optional<AttemptSpec> FairQueue::DisplaceLatest(ClassQueue& queue) {
  Account* latest = nullptr;
  for (auto& [team, account] : queue.accounts) {
    if (!account.items.empty() &&
        (latest == nullptr || account.items.back().sequence > latest->items.back().sequence)) {
      latest = &account;
    }
  }
  if (latest == nullptr) {
    return std::nullopt;
  }
  AttemptSpec displaced = this->Extract(queue, *latest, std::prev(latest->items.end()));
  DropIdleAccounts(queue);
  return displaced;
}

std::optional<AttemptSpec> FairQueue::DisplaceFromLargestShare(ClassQueue& queue,
                                                               const AttemptSpec& spec) {
  // Counts queued attempts rather than tokens, since a team might understate its tokens.
  const auto queued_per_weight = [](const Account& account) {
    return static_cast<double>(account.items.size()) / account.weight;
  };
  Account* largest = nullptr;
  double own = 1 / WeightOf(spec);
  for (auto& [team, account] : queue.accounts) {
    if (team == spec.team) {
      own += queued_per_weight(account);
    } else if (largest == nullptr || queued_per_weight(account) > queued_per_weight(*largest)) {
      largest = &account;
    }
  }
  if (largest == nullptr || queued_per_weight(*largest) <= own) {
    return std::nullopt;
  }
  AttemptSpec displaced = this->Extract(queue, *largest, std::prev(largest->items.end()));
  DropIdleAccounts(queue);
  return displaced;
}

ClassTokens FairQueue::TokensAhead(const AttemptSpec& spec) const {
  ClassTokens ahead{};
  const std::size_t own_class = IndexOf(spec.request_class);
  for (std::size_t higher = 0; higher < own_class; ++higher) {
    ahead.at(higher) = this->classes.at(higher).tokens;
  }
  const ClassQueue& queue = this->classes.at(own_class);
  double start = queue.virtual_time;
  double tokens = 0;
  if (const auto own = queue.accounts.find(spec.team); own != queue.accounts.end()) {
    start = std::max(start - Credit(queue), own->second.start) +
            own->second.tokens / own->second.weight;
    tokens = own->second.tokens;
  }
  for (const auto& [team, account] : queue.accounts) {
    if (team == spec.team || account.items.empty() || account.start > start) {
      continue;
    }
    const double head = TokensOf(account.items.front().spec);
    tokens += std::min(account.tokens, (start - account.start) * account.weight + head);
  }
  ahead.at(own_class) = tokens;
  return ahead;
}

void FairQueue::CorrectCharge(const AttemptSpec& spec, double used_tokens) {
  ClassQueue& queue = this->QueueOf(spec.request_class);
  if (const auto it = queue.accounts.find(spec.team); it != queue.accounts.end()) {
    Account& account = it->second;
    account.start += (used_tokens - TokensOf(spec)) / WeightOf(spec);
    account.start = std::max(account.start, queue.virtual_time - Credit(queue));
  }
}

std::size_t FairQueue::Size(RequestClass request_class) const {
  return this->QueueOf(request_class).size;
}

std::size_t FairQueue::Accounts() const {
  std::size_t accounts = 0;
  for (const ClassQueue& queue : this->classes) {
    accounts += queue.accounts.size();
  }
  return accounts;
}

}  // namespace masticrill::sidecar
