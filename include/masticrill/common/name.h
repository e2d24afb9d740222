#ifndef MASTICRILL_COMMON_NAME_H_
#define MASTICRILL_COMMON_NAME_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace masticrill {

/// A string that names one kind of thing. Names of different kinds do not convert to each other.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value(std::move(value)) {}

  const std::string& Value() const { return this->value; }
  bool Empty() const { return this->value.empty(); }

  friend auto operator<=>(const Name&, const Name&) = default;  // NOLINT(modernize-use-nullptr)

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->value);
  }

 private:
  std::string value;
};

using TeamId = Name<struct TeamTag>;
using ModelId = Name<struct ModelTag>;
using VersionId = Name<struct VersionTag>;
using CascadeId = Name<struct CascadeTag>;
using ServiceId = Name<struct ServiceTag>;
using FailureDomainId = Name<struct FailureDomainTag>;
using RegionId = Name<struct RegionTag>;
using UpstreamId = Name<struct UpstreamTag>;
using OperatorId = Name<struct OperatorTag>;
/// A process of the system: an entry, a sidecar or a control replica.
using NodeId = Name<struct NodeTag>;
/// One start of a process. A restart has a new incarnation under the same node name.
using IncarnationId = Name<struct IncarnationTag>;
/// One request of a caller, however many attempts and cascade steps it takes.
using RequestId = Name<struct RequestTag>;
/// One hand-over of a request to one upstream; doubles as the token that can be fenced.
using AttemptId = Name<struct AttemptTag>;
using SessionId = Name<struct SessionTag>;
/// A part of a prompt. Prompts that begin with the same parts share them.
using PromptPartId = Name<struct PromptPartTag>;
/// The caller's Idempotency-Key, unique within a team.
using IdempotencyKey = Name<struct IdempotencyKeyTag>;

/// One version of one model.
struct ModelVersion {
  ModelId model;
  VersionId version;

  friend auto operator<=>(const ModelVersion&,
                          const ModelVersion&) = default;  // NOLINT(modernize-use-nullptr)

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->model, this->version);
  }
};

}  // namespace masticrill

template <typename Tag>
struct std::hash<masticrill::Name<Tag>> {
  std::size_t operator()(const masticrill::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.Value());
  }
};

#endif  // MASTICRILL_COMMON_NAME_H_
