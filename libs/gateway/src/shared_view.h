// What this node has learned from the store or, while the store is away, from a peer: configuration, targets, nodes.
#pragma once

#include "node_messages.h"
#include "record_feed.h"

#include "gateway/gateway.h"
#include "observe/logger.h"
#include "observe/metrics.h"
#include "serving/dispatcher.h"
#include "serving/freshness.h"
#include "serving/node_directory.h"
#include "serving/target_follower.h"

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
        std::function<void(serving::target_update_batch)> onTargetChanges;
        std::function<void()> onStoreLost;
        /// Peers have a newer version in force, or know a change of the target list that this node has missed, and it
        /// leaves the store to others.
        std::function<void()> onBehind;
        /// This node has read all records of a topic.
        std::function<void()> onReadComplete = [] {};
    };

    shared_view(dependencies parts, const gateway_settings& settings, handlers on);

    /// Reads the store at once.
    void start();
    /// Peers have told all that the store would: it is read after a while only.
    void startTold();
    /// This node's own record is in the store: from now on the others are read.
    void registered();
    void stop();
    /// Whether this node reads the store closely on behalf of the others; otherwise it reads seldom and relies on
    /// them. `confirms`: it also polls at shorter intervals, to confirm to all nodes that nothing has changed.
    void setReadsClosely(bool readsClosely, bool confirms = false);
    bool readsClosely() const { return m_readsClosely; }
    /// Whether this node tells its peers what it reads: as a reader, or for a limited time after a refresh.
    bool tellsOthers() const { return m_readsClosely || boot_clock::now() < m_tellsOthersUntil; }
    /// The instants and versions up to which this node has read the store; the caller fills in the sender.
    read_note readProgress() const;
    /// A peer has read the store; the instants are those of the note, by the local clock.
    void peerReadStore(const read_note& note, instant configurationAt, instant targetsAt);
    /// Whether a topic has gone without confirmation for so long that nodes read the store themselves.
    bool isStale(instant now) const { return m_configurationFreshness.isStale(now) || m_targetsFreshness.isStale(now); }
    /// Reads the stale topics that the node with this rank is due to read.
    void refreshIfStale(std::size_t rank, instant now);
    /// A peer that reads closely has found these changes.
    void targetsTold(const serving::target_update_batch& note);
    /// A peer knows of a change of the target list at this offset.
    void targetChangeSeen(std::int64_t offset);
    /// This node has obeyed every change of the target list up to this offset; -1 while it leaves the list to others.
    std::int64_t lastTargetChange() const;
    /// The same, whoever follows it.
    std::int64_t targetPosition() const { return m_targets.lastChange(); }
    /// A peer has a newer version in force than this node.
    void versionSeen(std::uint64_t version);
    /// The store is to be asked for what is missing, as no peer has given it.
    void readMissing();
    /// Whether a change of the target list was missed.
    bool isBehindTargets() const { return m_targets.isBehind(); }
    /// What a peer knows; taken where it is newer.
    void take(const shared_state& state);
    shared_state offered(const serving::node_state& self);
    /// The same without targets and nodes.
    shared_state offeredConfiguration();
    /// Whether the first reads of the store can still be under way.
    bool isStarting(instant now) const;
    void tick(instant now);

    bool hasConfiguration() const { return m_configuration != nullptr; }
    bool hasTargets() const { return m_targets.hasList(); }
    /// Whether all nodes that had registered at some time were read, or told by a peer that had read them.
    bool knowsNodes() const { return m_knowsNodes || m_nodeFeed.isCurrent(); }
    const std::shared_ptr<const serving::serving_configuration>& configuration() const { return m_configuration; }
    /// Reads the configuration topic now to update storeReach(), after a store call outside of this class has failed.
    void checkStoreReach();
    /// Reachability according to the latest completed call for either the configuration or the target topic. An earlier
    /// success for the other topic does not mask a failure.
    serving::store_reach storeReach() const;
    /// The last call of one of the topics that every node needs has failed.
    bool isStoreLost() const;
    /// Whether the store was reachable at the last call for the topic.
    bool isConfigurationTopicReachable() const { return m_configurationFeed.reach() == serving::store_reach::reached; }
    bool isTargetTopicReachable() const { return m_targetFeed.reach() == serving::store_reach::reached; }
    /// Start time of the latest successful read of the topic from the store by this node.
    instant configurationFreshAt() const { return m_configurationFeed.freshAt(); }
    instant targetsFreshAt() const { return m_targetFeed.freshAt(); }
    /// Time since this node was last known to hold all records of the topic, read by itself or by a peer.
    duration configurationAge(instant now) const { return m_configurationFreshness.age(now); }
    duration targetsAge(instant now) const { return m_targetsFreshness.age(now); }

private:
    using records_handler = std::function<void(const std::vector<keyed_record>&)>;

    record_feed::handlers handlersFor(std::string_view topic, records_handler onRecords);
    record_feed::handlers forEachRecord(std::string_view topic, std::function<void(const keyed_record&)> onRecord);
    record_feed::handlers configurationHandlers();
    record_feed::handlers targetHandlers();
    void onConfigurationRecord(const keyed_record& record);
    void onNodeRecord(const keyed_record& record);
    /// Records that cannot be read are logged and left out.
    std::vector<serving::target_update> decodeTargets(const std::vector<keyed_record>& records) const;
    void carryOut(serving::follow_result step);
    /// Fills in what the record's value says.
    void decodeTarget(const keyed_record& record, serving::target_update& news) const;
    void apply(const serving::target_changes& changes);
    void logChanges(const serving::target_changes& changes) const;
    void applyReadIntervals();
    void refresh(
        std::string_view topic, record_feed& feed, serving::freshness& freshness, std::size_t rank, instant now);
    void reachChanged(std::string_view topic, bool isReachable, std::string_view reason);

    dependencies m_parts;
    handlers m_on;
    duration m_drainBound;
    duration m_configurationBound;
    serving::freshness m_configurationFreshness;
    serving::freshness m_targetsFreshness;
    serving::target_follower m_targets;
    record_feed m_configurationFeed;
    record_feed m_targetFeed;
    record_feed m_nodeFeed;
    std::shared_ptr<const serving::serving_configuration> m_configuration;
    std::optional<keyed_record> m_configurationRecord; // as the store had it
    std::optional<packed_record> m_packedConfiguration; // the same, once a peer has asked for it
    instant m_startedAt;
    instant m_tellsOthersUntil;
    instant m_tickAt; // not before
    instant m_hurriedAt;
    instant m_targetsHurriedAt;
    bool m_readsClosely = false;
    bool m_confirms = false;
    bool m_knowsNodes = false;
    bool m_wereTargetsLost = false; // the store has not told the list since
};

}
