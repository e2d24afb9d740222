#ifndef MASTICRILL_GATEWAY_ROUTE_TABLE_REVIEW_H_
#define MASTICRILL_GATEWAY_ROUTE_TABLE_REVIEW_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "masticrill/gateway/route_table.h"

namespace masticrill::gateway {

/// An entry of a valid table that can have no effect, or contradicts another one.
struct Finding {
  /// What it concerns: "route r1", "service s1", "team t1" or "limits".
  std::string place;
  /// What is wrong and what to do.
  std::string message;

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// What is known of the hosts on which the table will be in force.
struct HostRoom {
  /// What an entry may buffer for its peers; absent where it is not known.
  std::optional<std::size_t> buffer_bytes;
};

/// Entries that can never match, and limits that contradict each other. Pure.
std::vector<Finding> ReviewTable(const RouteTable& table, const HostRoom& room);

/// One difference between two tables. A value that only one of them has is empty in the other.
struct TableChange {
  std::string place;
  std::string before;
  std::string after;

  friend bool operator==(const TableChange&, const TableChange&) = default;
};

/// What `next` changes, by route, service, team and limit. Keys are counted and not shown. Pure.
std::vector<TableChange> CompareTables(const RouteTable& in_force, const RouteTable& next);

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_ROUTE_TABLE_REVIEW_H_
