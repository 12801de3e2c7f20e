// Follows what engines keep: one waiting call to each that is this node's to watch, a list where events were missed,
// and what a peer knows when this node starts.
#pragma once

#include "node_messages.h"

#include "gateway/target_protocol.h"

#include "base/ids.h"
#include "http/http_client.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

namespace tamarack {

class cache_watch {
public:
    using news_handler = std::function<void(std::vector<cache_news>)>;

    /// `onListed` hears of what engines keep that were asked for all of it.
    cache_watch(http_client& client, const target_protocol& protocol, serving::dispatcher& decisions, metrics& counters,
        const logger& log, news_handler onListed);
    ~cache_watch();

    /// Watches the engines that are this node's to watch; called from time to time.
    void tick(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now);
    /// What was seen since the last call, at most `most` of it, for peers that do not watch themselves.
    std::vector<cache_news> takeNews(std::size_t most);
    /// A peer tells of the engines that it watches.
    void told(const std::vector<cache_news>& news);
    /// All that is known, for a peer that has just started.
    known_caches known(instant now) const;

private:
    struct watched_engine {
        target_id row;
        std::string name; // what it calls itself
        std::string address;
        std::uint64_t next = 0; // number of the first event not seen
        std::uint64_t epoch = 0;
        bool hasEpoch = false;
        std::shared_ptr<http_exchange> call; // null while none is outstanding
        instant askAt; // not before
        bool isToList = false; // events were missed, and it is this node's to make them good
        bool isLister = false;
        std::unordered_set<std::uint64_t> toldParts; // that peers take for kept
    };

    /// Which engines are this node's to watch; looked at anew when nodes or targets have changed.
    void shareOut(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now);
    void askPeer(const serving::node_state& self, const std::vector<serving::node_state>& alive, instant now);
    void peerAnswered(const http_response* response);
    void ask(const std::string& instance, watched_engine& engine);
    void list(const std::string& instance, watched_engine& engine);
    void listed(const std::string& instance, const http_response* response);
    void answered(const std::string& instance, const http_response* response);
    /// What peers do not know yet.
    std::vector<cache_news> newsOf(watched_engine& engine, const std::vector<serving::cache_event>& events);
    void keepNews(watched_engine& engine, const std::vector<serving::cache_event>& events);
    void take(const std::string& instance, watched_engine& engine, const cache_report& report);
    /// The engine whose call has ended; null if it is not watched any more, or its row is another target's.
    watched_engine* calledEngine(const std::string& instance);

    http_client& m_client;
    const target_protocol& m_protocol;
    serving::dispatcher& m_decisions;
    metrics& m_counters;
    const logger& m_log;
    news_handler m_onListed;
    std::map<std::string, watched_engine> m_engines; // by instance
    std::deque<cache_news> m_news; // the oldest first
    std::uint64_t m_fleetSeen = 0; // generation that was last shared out
    std::uint64_t m_nodesSeen = 0; // of the nodes then
    instant m_shareAt; // not before
    instant m_askPeerAt; // not before
    instant m_startedAt = boot_clock::now();
    int m_peersAsked = 0;
    bool m_isInformed = false; // a peer has told all that there is to know, or none is asked any more
    bool m_wasToldAll = false; // by a peer
    bool m_sharesWatches = false; // too many nodes for all to watch all
};

}
