// Shares the rates of targets that name limits with the peers: tells them of the limits, and exchanges permits.
#pragma once

#include "peer_messenger.h"

#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"

#include <vector>

namespace tamarack {

class limit_sharing {
public:
    struct dependencies {
        serving::dispatcher& decisions;
        peer_messenger& peers;
        metrics& counters;
        const logger& log;
    };

    explicit limit_sharing(dependencies parts);

    /// Tells which nodes take part. Called periodically.
    void setNodes(const serving::node_state& self, const std::vector<serving::node_state>& alive, int known,
        duration peerTimeout);
    /// Sends what is due. Called every few milliseconds, before the dispatcher's tick.
    void tick(instant now);

private:
    void issuePermits(instant now);
    void askForPermits(instant now);
    void logChanges();

    dependencies m_parts;
    serving::node_endpoint m_self;
};

}
