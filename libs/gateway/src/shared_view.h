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
    using configuration_handler = std::function<void(std::shared_ptr<const serving::serving_configuration>)>;

    shared_view(dependencies parts, const gateway_settings& settings, configuration_handler onConfiguration);

    void start();
    void stop();
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
    void onTargetRecord(const keyed_record& record);
    void onTargetSnapshot(const std::vector<keyed_record>& records);
    void onNodeRecord(const keyed_record& record);
    void apply(const serving::target_changes& changes);
    void reachChanged(std::string_view topic, bool isReachable, std::string_view reason);

    dependencies m_parts;
    configuration_handler m_onConfiguration;
    serving::target_list m_targetList;
    record_feed m_configurationFeed;
    record_feed m_targetFeed;
    record_feed m_nodeFeed;
    std::shared_ptr<const serving::serving_configuration> m_configuration;
    std::optional<keyed_record> m_configurationRecord; // as the store had it
    std::map<std::string, keyed_record> m_targetRecords; // by instance, as the store had them
    instant m_hurriedAt;
    bool m_hasTargets = false;
};

}
