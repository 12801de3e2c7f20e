// Follows the cache events of engines: one waiting call to each.
#pragma once

#include "gateway/target_protocol.h"

#include "base/ids.h"
#include "http/http_client.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"

#include <map>
#include <memory>
#include <string>

namespace tamarack {

class cache_watch {
public:
    cache_watch(http_client& client, const target_protocol& protocol, serving::dispatcher& decisions, metrics& counters,
        const logger& log);
    ~cache_watch();

    /// Begins to watch engines that are new and stops watching those that are gone; called from time to time.
    void tick(instant now);

private:
    struct watched_engine {
        target_id row;
        std::string address;
        std::uint64_t next = 0; // number of the first event not seen
        std::uint64_t epoch = 0;
        bool hasEpoch = false;
        std::shared_ptr<http_exchange> call; // null while none is outstanding
        instant askAt; // not before
    };

    void ask(const std::string& instance, watched_engine& engine);
    void answered(const std::string& instance, const http_response* response);
    void take(const std::string& instance, watched_engine& engine, const cache_report& report);

    http_client& m_client;
    const target_protocol& m_protocol;
    serving::dispatcher& m_decisions;
    metrics& m_counters;
    const logger& m_log;
    std::map<std::string, watched_engine> m_engines; // by instance
};

}
