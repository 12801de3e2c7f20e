// Holds the configuration, the targets and the nodes as this node has learned them from the store or, while the store
// is unreachable, from a peer.
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

class cluster_view {
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
        /// Receives changes of the target list that this node has read itself, to be sent to its peers.
        std::function<void(serving::target_update_batch)> onTargetChanges;
        std::function<void()> onStoreLost;
        /// Peers have a newer configuration version, or know a change of the target list that this node has missed, and
        /// this node does not read the store closely itself.
        std::function<void()> onBehind;
        /// This node has read all records of a topic.
        std::function<void()> onReadComplete = [] {};
        /// A peer's state contains quarantine records.
        std::function<void(const std::vector<quarantine_record>&)> onQuarantine = [](const auto&) {};
    };

    cluster_view(dependencies parts, const gateway_settings& settings, handlers on);

    /// Starts reading the store at once.
    void start();
    /// Starts with the state that a peer has supplied; the store is first read after a long interval.
    void startFromPeer();
    /// Called when this node's own record is in the store; starts reading the other nodes' records.
    void onNodeRegistered();
    void stop();
    /// Sets whether this node reads the store closely on behalf of others; otherwise it reads rarely and relies on the
    /// readers. `isConfirmer`: it also polls at shorter intervals, to confirm to all nodes that nothing has changed.
    void setReader(bool isReader, bool isConfirmer = false);
    bool isReader() const { return m_isReader; }
    /// Whether this node sends its peers what it reads: as a reader, or for a limited time after a refresh.
    bool sharesReads() const { return m_isReader || boot_clock::now() < m_sharesReadsUntil; }
    /// The instants and versions up to which this node has read the store. The caller fills in the sender's fields.
    read_progress readProgress() const;
    /// A peer has read the store. The instants are those of the note, converted to the local clock.
    void onPeerReadProgress(const read_progress& note, instant configurationAt, instant targetsAt);
    /// Whether a topic has gone without confirmation for so long that nodes read the store themselves.
    bool isStale(instant now) const { return m_configurationFreshness.isStale(now) || m_targetsFreshness.isStale(now); }
    /// Reads the stale topics that the node with this rank is due to read.
    void refreshIfStale(std::size_t rank, instant now);
    /// Applies changes of the target list that a reader has found.
    void applyTargetNote(const serving::target_update_batch& note);
    /// A peer knows a change of the target list at this offset.
    void onPeerTargetChange(std::int64_t offset);
    /// Offset up to which this node has applied every change of the target list; -1 while it does not send its reads to
    /// peers.
    std::int64_t lastTargetChange() const;
    /// Offset of the last change of the target list, whoever has read it.
    std::int64_t targetPosition() const { return m_targets.lastChange(); }
    /// Called when a peer uses a newer configuration version than this node.
    void onPeerVersion(std::uint64_t version);
    /// Reads what is missing from the store, since no peer has supplied it.
    void readMissing();
    /// Whether a change of the target list was missed.
    bool isBehindTargets() const { return m_targets.isBehind(); }
    /// Applies a peer's state where it is newer.
    void applyState(const shared_state& state);
    shared_state exportState(const serving::node_state& self);
    /// The same with the configuration only.
    shared_state exportConfiguration();
    /// Whether the first reads of the store can still be in progress.
    bool isStarting(instant now) const;
    void tick(instant now);

    bool hasConfiguration() const { return m_configuration != nullptr; }
    bool hasTargets() const { return m_targets.hasList(); }
    /// Whether all registered nodes are known, read from the store or supplied by a peer that had read them.
    bool knowsNodes() const { return m_knowsNodes || m_nodeFeed.isCurrent(); }
    const std::shared_ptr<const serving::serving_configuration>& configuration() const { return m_configuration; }
    /// Reads the configuration topic now to update storeReach(), after a store call outside of this class has failed.
    void checkStoreReach();
    /// Reachability according to the latest completed call for either the configuration or the target topic. An earlier
    /// success for the other topic does not mask a failure.
    serving::store_reach storeReach() const;
    /// Whether the last call for one of the two topics that every node needs has failed.
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
    /// Decodes the records. A record that cannot be decoded is logged, and its target is not used.
    std::vector<serving::target_update> decodeTargets(const std::vector<keyed_record>& records) const;
    void applyFollowStep(serving::follow_result step);
    /// Fills in the decoded value of the record.
    void decodeTarget(const keyed_record& record, serving::target_update& update) const;
    void apply(const serving::target_changes& changes);
    void logChanges(const serving::target_changes& changes) const;
    void applyReadIntervals();
    void refresh(
        std::string_view topic, record_feed& feed, serving::freshness& freshness, std::size_t rank, instant now);
    void onReachChanged(std::string_view topic, bool isReachable, std::string_view reason);

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
    std::optional<keyed_record> m_configurationRecord; // as read from the store
    std::optional<compressed_record> m_compressedConfiguration; // the same compressed; set once a peer has requested it
    instant m_startedAt;
    instant m_sharesReadsUntil;
    instant m_nextTickAt; // earliest time of the next tick
    instant m_catchUpAt;
    instant m_targetCatchUpAt;
    bool m_isReader = false;
    bool m_isConfirmer = false;
    bool m_knowsNodes = false;
    bool m_wasTargetTopicLost = false; // the last read of the target topic failed
};

}
