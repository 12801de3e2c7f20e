// Provides the conversion of a node's settings to the settings of the control decisions.
#pragma once

#include "decide/control_system.h"
#include "settings/node_settings.h"

namespace tamarack {

inline control_settings controlSettingsFrom(const node_settings& node)
{
    control_settings settings;
    settings.lease.length = node.leaseLength;
    settings.lease.margin = node.leaseLength / 10;
    settings.lease.appendRetry = std::max<duration>(node.logPollInterval * 3, std::chrono::milliseconds(300));
    settings.orders.appendRetry = settings.lease.appendRetry;
    settings.orders.settleDelay = node.logPollInterval * 4;
    settings.members.peerTimeout = node.peerTimeout;
    settings.ready.isolationTimeout = node.peerTimeout * 2;
    settings.ready.maxVersionLag = node.peerTimeout;
    settings.snapshotInterval = node.snapshotInterval;
    return settings;
}

}
