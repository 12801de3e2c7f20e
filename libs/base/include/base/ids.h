// Defines the ID types that are used across the system.
#pragma once

#include "base/strong_id.h"

#include <string>

namespace tamarack {

/// Row index of a target in the target table of one node. It has no meaning on other nodes.
using target_id = strong_id<struct target_tag>;
/// Row index of a service in the configuration in force.
using service_id = strong_id<struct service_tag>;
/// Identifies a request that this node is handling. Unique for the lifetime of the process.
using request_id = strong_id<struct request_tag, std::uint64_t>;
/// Identifies one attempt to execute a request on one target. Unique for the lifetime of the process.
using attempt_id = strong_id<struct attempt_tag, std::uint64_t>;
/// Identifies a build of a service: one version of the software of its targets. The same on all nodes.
using build_id = strong_id<struct build_tag>;
/// Offset of a record in the platform's log.
using log_offset = strong_id<struct offset_tag, std::int64_t>;

/// Identifies one run of a node's process: the node's name and an incarnation number that increases with every start.
struct instance_id {
    std::string node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const instance_id&) const = default;
    bool isValid() const { return !node.empty(); }
};

/// Returns `name@incarnation`, the form used in requests of callers and in log records.
std::string toString(const instance_id&);
/// Parses the form that toString() returns. Returns an invalid ID if `text` is malformed.
instance_id parseInstance(const std::string&);

}

template <> struct std::hash<tamarack::instance_id> {
    std::size_t operator()(const tamarack::instance_id& id) const noexcept
    {
        return std::hash<std::string>()(id.node) ^ (id.incarnation * 0x9e3779b97f4a7c15ULL);
    }
};
