// Keeps the quarantine of this node in agreement with the store, so that it outlasts a restart of all nodes, and passes
// on what peers report.
#pragma once

#include "node_messages.h"
#include "record_feed.h"

#include "observe/logger.h"
#include "serving/dispatcher.h"
#include "serving/retry_backoff.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

class quarantine_sync {
public:
    struct dependencies {
        keyed_log& store;
        serving::dispatcher& decisions;
        const logger& log;
        std::function<void(serving::command_list)> execute;
    };

    explicit quarantine_sync(dependencies parts);

    /// Reads the quarantines in the store; called by a node that no peer has supplied with state.
    void start() { m_feed.start(); }
    /// Applies records of peers.
    void apply(const std::vector<quarantine_record>& records);
    /// The quarantined requests and parts of prompts as JSON.
    std::string describe(instant now) const;
    /// Logs changes. `isWriter`: this node keeps the store up to date on behalf of the fleet. `areNodesSilent`: nodes
    /// that this one does not hear may be at work and write to the store as well, so a writer also reads it.
    void tick(bool isWriter, bool areNodesSilent, instant now);

private:
    void onRecords(const std::vector<keyed_record>& records);
    void logChange(const quarantine_change& change) const;
    std::string targetName(std::uint32_t hash) const;
    void followStore(bool isFollowing);
    void write(instant now);
    void onWritten(bool isWritten);

    dependencies m_parts;
    record_feed m_feed;
    serving::retry_backoff m_retries;
    std::vector<request_trait> m_toRemove; // from the store
    instant m_nextWriteAt;
    bool m_isWriting = false;
    bool m_isFollowing = false; // reads the store at short intervals
};

}
