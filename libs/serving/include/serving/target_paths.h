// Tracks which targets this node reaches.
#pragma once

#include "serving/fleet_table.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::serving {

/// How a connection to a target could not be made.
enum class path_failure : unsigned char {
    refused, ///< it was refused or reset at once
    silent, ///< nothing came back in time
    count
};

std::string_view toString(path_failure failure);

/// The direct paths to the targets of a service: all of them are lost, or one of them works again.
struct service_path_change {
    std::string service;
    bool isLost = false;
    std::size_t targets = 0; ///< listed targets of the service
    path_failure failure = path_failure::refused; ///< of the target that was lost last
    duration length = duration::zero(); ///< since the first of these losses
};

/// The path to a target is lost when no connection can be made, and works again with its first answer or connection.
class target_paths {
public:
    explicit target_paths(const fleet_table& fleet);

    /// No connection could be made for a call that began at `startedAt`.
    void failed(target_id id, path_failure failure, instant startedAt, instant now);
    /// A call that began at `startedAt` has reached the target.
    void reached(target_id id, instant startedAt);
    bool isLost(target_id id) const;
    /// Clears the row, because it now belongs to another target.
    void forget(target_id id);
    /// The number of listed targets of the service whose path is lost.
    std::size_t countLost(std::string_view service) const;
    /// Compares the services with the state at the last call, for the log.
    std::vector<service_path_change> takeServiceChanges(instant now);

private:
    struct path {
        instant lostAt; // the default: it is not lost
        instant reachedAt; // start of the latest call that has reached the target
        path_failure failure = path_failure::refused;
    };

    path& at(target_id id);
    service_path_change stateOf(std::string_view service, instant now) const;

    const fleet_table& m_fleet;
    std::vector<path> m_paths; // by row of the fleet
    std::map<std::string, instant> m_lostServices; // by service, since when all paths to its targets are lost
};

}
