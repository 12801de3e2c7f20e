// What this node has learned from the store or, while the store is away, from a peer: configuration, targets, nodes.
#pragma once

#include "node_messages.h"
#include "record_feed.h"

#include "gateway/gateway.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"
#include "serving/node_directory.h"
#include "serving/target_list.h"

#include <functional>
#include <map>
#include <memory>

namespace tamarack {

class shared_view {
public:
    struct dependencies {
        const record_decoder& records;
        keyed_log& store;
        serving::dispatcher& decisions;
        serving::node_directory& nodes;
        metrics& counters;
        const logger& log;
    };
    struct handlers {
        std::function<void(const std::shared_ptr<const serving::serving_configuration>&)> onConfiguration;
        /// Changes of the target list that this node found itself, for its peers.
        std::function<void(std::vector<keyed_record>)> onTargetChanges;
        std::function<void()> onStoreLost;
    };

    shared_view(dependencies parts, const gateway_settings& settings, handlers on);

    void start();
    /// This node's own record is in the store: from now on the others are read.
    void registered();
    void stop();
    /// Whether this node reads the target list closely, for all; else it reads seldom and listens to those that do.
    void setReadsClosely(bool readsClosely);
    /// A peer that reads closely has found these changes.
    void targetsTold(const std::vector<keyed_record>& changes);
    /// A peer knows of a change of the target list at this offset.
    void targetChangeSeen(std::int64_t offset);
    /// The newest offset up to which this node has obeyed every change of the target list.
    std::int64_t lastTargetChange() const;
    /// A peer has a newer version in force than this node.
    void versionSeen(std::uint64_t version);
    /// What a peer knows; taken where it is newer.
    void take(const shared_state& state);
    shared_state offered(const serving::node_state& self) const;
    void tick(instant now);

    bool hasConfiguration() const { return m_configuration != nullptr; }
    bool hasTargets() const { return m_hasTargets; }
    const std::shared_ptr<const serving::serving_configuration>& configuration() const { return m_configuration; }
    bool isStoreReachable() const { return m_configurationFeed.isReachable() || m_targetFeed.isReachable(); }
    instant targetsFreshAt() const { return m_targetFeed.freshAt(); }

private:
    record_feed::handlers handlersFor(std::string_view topic, std::function<void(const keyed_record&)> onRecord,
        std::function<void(const std::vector<keyed_record>&)> onSnapshot);
    void onConfigurationRecord(const keyed_record& record);
    serving::target_changes takeTargetRecord(const keyed_record& record);
    void onTargetRecord(const keyed_record& record);
    void onTargetSnapshot(const std::vector<keyed_record>& records);
    void onNodeRecord(const keyed_record& record);
    void apply(const serving::target_changes& changes);
    void tellPeers(const serving::target_changes& changes);
    void confirmLapsed();
    /// Notes that the list has no entry for the target any more.
    void markRemoved(const std::string& instance);
    /// Offset of what is known of a target; -1 if nothing is.
    std::int64_t knownOffset(const std::string& instance) const;
    void reachChanged(std::string_view topic, bool isReachable, std::string_view reason);

    dependencies m_parts;
    handlers m_on;
    duration m_closePause;
    duration m_closeWait;
    serving::target_list m_targetList;
    record_feed m_configurationFeed;
    record_feed m_targetFeed;
    record_feed m_nodeFeed;
    std::shared_ptr<const serving::serving_configuration> m_configuration;
    std::optional<keyed_record> m_configurationRecord; // as the store had it
    std::map<std::string, keyed_record> m_targetRecords; // by instance, as the store had them; without a value: dropped
    std::int64_t m_lastTargetChange = -1; // offset
    std::int64_t m_confirmedChange = -1; // the newest that a peer knows of
    instant m_hurriedAt;
    instant m_targetsHurriedAt;
    bool m_readsClosely = true;
    bool m_hasTargets = false;
};

}
