// What a gateway process is told when it starts.
#pragma once

#include "base/clock.h"
#include "http/http_client.h"

#include <string>
#include <vector>

namespace tamarack {

struct gateway_settings {
    std::string vm; ///< this VM's name; unique among the nodes
    std::string region;
    std::string availabilityZone;
    endpoint callers; ///< where callers' requests are taken
    endpoint ready; ///< where the platform asks whether the node is ready
    endpoint entries; ///< where callers ask for addresses
    endpoint admin; ///< for peers' first contact; port 0: none
    endpoint metrics; ///< port 0: none
    endpoint peers; ///< UDP and TCP between nodes
    std::vector<endpoint> seeds; ///< admin addresses of some nodes; they may be gone
    endpoint store;
    bool isFirstStart = false; ///< the whole system starts for the first time: no process has had a former life

    // Bounds of the platform.
    duration drainBound = std::chrono::seconds(2); ///< a leaving target gets no new work after this
    duration configurationBound = std::chrono::seconds(2); ///< a version is in force after this
    duration stopBound = std::chrono::seconds(8); ///< from SIGTERM to the end of the process
    duration longestEntryLifetime = std::chrono::seconds(5); ///< callers keep an answer no longer
    duration orderTurn = std::chrono::seconds(3); ///< between orders of two nodes to an engine
    double retryRatio = 0.2;
    double retrySlack = 0;
    duration retryWindow = std::chrono::seconds(10);
    int descriptors = 1024; ///< that the process may have open
    std::int64_t memoryMegabytes = 256; ///< that the process may use
    std::uint32_t linkMegabits = 0; ///< a second, of the VM's link; 0: not known
};

}
