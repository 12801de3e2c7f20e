// Settings of a gateway process, fixed at its start.
#pragma once

#include "base/clock.h"
#include "http/http_client.h"

#include <string>
#include <vector>

namespace tamarack {

struct gateway_settings {
    std::string vm; ///< name of this VM; unique among the nodes
    std::string region;
    std::string availabilityZone;
    endpoint callers; ///< listens for callers' requests
    endpoint ready; ///< listens for the platform's readiness probes
    endpoint entries; ///< listens for requests for entry addresses
    endpoint admin; ///< serves state snapshots to peers; port 0: disabled
    endpoint metrics; ///< serves metrics; port 0: disabled
    endpoint peers; ///< address for datagrams between nodes
    std::vector<endpoint> seeds; ///< admin addresses of some nodes, which may be unreachable
    endpoint store;
    endpoint platformCalls; ///< receives the calls that one node makes for the fleet; port 0: there are none
    bool reportsUsage = false; ///< the fleet reports the requests of client accounts
    bool ordersInstances = false; ///< the fleet orders instances of services
    bool isFirstStart = false; ///< the whole system starts for the first time, so no node has had an earlier process
                               ///< requests to targets

    // Time bounds and limits set by the platform.
    duration drainBound = std::chrono::seconds(2); ///< a draining target receives no new requests after this time
    duration configurationBound = std::chrono::seconds(2); ///< a new version is in force on every node within this time
    duration stopBound = std::chrono::seconds(8); ///< from SIGTERM to process exit
    duration maxEntryLifetime = std::chrono::seconds(5); ///< longest time for which callers may cache entry addresses
    duration orderHandoverInterval = std::chrono::seconds(3); ///< between orders of two nodes to one engine
    duration usageWindow = std::chrono::seconds(5); ///< usage is reported by windows of this length
    duration usageLateness = std::chrono::seconds(10); ///< a window is reported within this time after its end
    /// Whether a node that cannot confirm its configuration for revocationBound refuses requests that need a key.
    bool isRevocationStrict = false;
    duration revocationBound = std::chrono::seconds(5);
    double retryRatio = 0.2;
    double retrySlack = 0;
    duration retryWindow = std::chrono::seconds(10);
    int descriptors = 1024; ///< limit of open file descriptors of the process
    std::int64_t memoryMegabytes = 256; ///< memory limit of the process
    double processorShare = 0; ///< of the VM, in cores; 0: unknown
    std::uint32_t linkMegabits = 0; ///< link bandwidth of the VM per second; 0: unknown
};

}
