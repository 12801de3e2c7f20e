// Tracks which builds the targets of each service have, and had a short while ago.
#pragma once

#include "serving/fleet_table.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace tamarack::serving {

/// A build that a service has or has had.
struct build_sighting {
    std::uint32_t service = 0; ///< shortHash() of its name
    build_id build;
    duration age = duration::zero(); ///< since its last target left the list
};

/// A build counts as known for some time after its last target has left the list: nodes with an older list may still
/// use that target, and callers may still come back for its streams.
class service_builds {
public:
    /// `knownSince`: from when on this node has noticed every build. The fleet must outlive this object.
    service_builds(const fleet_table& fleet, instant knownSince);

    /// Reads the fleet if it has changed. Called before each use and periodically. Returns whether a build is new for
    /// its service.
    bool update(instant now);
    /// The builds that were listed lately, to be sent to a peer.
    std::vector<build_sighting> recent(instant now) const;
    /// Adds what a peer has noticed.
    void add(const std::vector<build_sighting>& sightings, instant now);
    /// A peer that has noticed every build for so long has sent its list, which is part of the fleet.
    void adoptHistory(duration length, instant now) { m_knownSince = std::min(m_knownSince, now - length); }
    /// A build may have come and gone unnoticed before that instant.
    void historyBroken(instant at) { m_knownSince = std::max(m_knownSince, at); }
    /// For how long this node has noticed every build.
    duration historyLength(instant now) const { return now - m_knownSince; }
    /// The builds, of the services with these shortHash(), that were listed within `span`; ascending.
    std::vector<build_id> known(const std::vector<std::uint32_t>& services, duration span, instant now) const;

private:
    struct sighting {
        build_id build;
        bool isListed = true;
        instant lastListedAt; // if it is not listed any more
    };

    /// Returns whether the service had other builds only.
    bool addListed(std::uint32_t service, build_id build);

    const fleet_table& m_fleet;
    std::uint64_t m_generation = 0; // of the fleet when it was read last
    instant m_knownSince;
    std::unordered_map<std::uint32_t, std::vector<sighting>> m_sightings; // by shortHash() of the service
};

}
