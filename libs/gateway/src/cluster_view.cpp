// Applies the records of the store and the messages of peers to the dispatcher and the node directory.
#include "cluster_view.h"

#include "observe/name_sample.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// A long poll detects a dead connection only at its end, so its wait stays below the time within which nodes
    /// must use a new configuration version.
    constexpr double longPollShareOfBound = 0.8;
    /// Pause between two long polls; limits the call rate if the store responds at once.
    constexpr duration configurationPause = 20ms;
    /// A drain must take effect within the drain bound of its record: half of it for the pause, the rest for the call,
    /// a failed call and its retry.
    constexpr double pauseShareOfBound = 0.45;
    /// Read interval of nodes that rely on readers. They receive each version and target change in messages, and again
    /// with each heartbeat; they read the store at this interval in case no reader's messages arrive.
    constexpr duration backupReadInterval = 300s;
    /// First retry pause of readers.
    constexpr duration readerFirstRetryPause = 150ms;
    /// While the store fails, readers retry at least this often, so that they announce its return within a third of the
    /// time within which nodes must use a new configuration version.
    constexpr duration readerMaxRetryPause = 600ms;
    /// While the store fails, the other nodes retry at least this often.
    constexpr duration followerRetryPause = 5s;
    /// Retry pause after a failed call whose answer a peer has supplied. The call is still retried because a node must
    /// reach the store to become a reader.
    constexpr duration deferredRetryPause = 30s;
    /// New nodes announce themselves by messages; the topic is read for those whose messages do not arrive.
    constexpr duration nodeReadInterval = 300s;
    /// Entries that expired while the store was unreachable are restored within two seconds of its return; the rest of
    /// the time is for reading them.
    constexpr duration removalGracePeriod = 2500ms;
    /// A version announced by a peer is requested again after this time.
    constexpr duration catchUpInterval = 300ms;
    /// Interval at which deferred removals are checked, which iterates over all targets.
    constexpr duration tickInterval = 100ms;
    /// If more targets change at once, one log line summarizes them.
    constexpr std::size_t maxSingleTargetLines = 2;
    /// A configuration of 1 MB takes 0.9 s over a link of 10 Mbit/s. Pulling state from peers meanwhile would slow it
    /// down.
    constexpr duration firstReadDuration = 1500ms;

    duration share(double part, duration whole) { return fromSeconds(part * seconds(whole)); }

    std::string_view toString(serving::store_reach reach)
    {
        switch (reach) {
        case serving::store_reach::unknown:
            return "unknown";
        case serving::store_reach::reached:
            return "reached";
        case serving::store_reach::lost:
            return "lost";
        }
        return "unknown";
    }

    /// Returns -1 if the topic has not been read yet.
    std::int64_t ageMilliseconds(instant freshAt)
    {
        if (freshAt == instant())
            return -1;
        return std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - freshAt).count();
    }

}

cluster_view::cluster_view(dependencies parts, const gateway_settings& settings, handlers on)
    : m_parts(parts)
    , m_on(std::move(on))
    , m_drainBound(settings.drainBound)
    , m_configurationBound(settings.configurationBound)
    , m_configurationFreshness(settings.configurationBound, boot_clock::now())
    , m_targetsFreshness(settings.drainBound, boot_clock::now())
    , m_targets(removalGracePeriod)
    , m_configurationFeed(parts.store, { store_topic::configuration, 0s, backupReadInterval }, configurationHandlers())
    , m_targetFeed(parts.store, { store_topic::targets, 0s, backupReadInterval }, targetHandlers())
    , m_nodeFeed(parts.store, { store_topic::nodes, 0s, nodeReadInterval },
          forEachRecord("nodes", [this](const keyed_record& record) { onNodeRecord(record); }))
{
}

record_feed::handlers cluster_view::handlersFor(std::string_view topic, records_handler onRecords)
{
    record_feed::handlers on;
    on.onRecords = onRecords;
    on.onSnapshot = std::move(onRecords);
    on.onReach
        = [this, topic](bool isReachable, std::string_view reason) { onReachChanged(topic, isReachable, reason); };
    return on;
}

record_feed::handlers cluster_view::forEachRecord(
    std::string_view topic, std::function<void(const keyed_record&)> onRecord)
{
    return handlersFor(topic, [onRecord = std::move(onRecord)](const std::vector<keyed_record>& records) {
        for (const auto& record : records)
            onRecord(record);
    });
}

record_feed::handlers cluster_view::configurationHandlers()
{
    auto on = forEachRecord("configuration", [this](const keyed_record& record) { onConfigurationRecord(record); });
    on.onComplete = [this] {
        m_configurationFreshness.confirmed(m_configurationFeed.freshAt());
        m_on.onReadComplete();
    };
    return on;
}

record_feed::handlers cluster_view::targetHandlers()
{
    auto on = handlersFor("targets", [this](const std::vector<keyed_record>& records) {
        applyFollowStep(m_targets.recordsRead(decodeTargets(records), m_targetFeed.next(), boot_clock::now()));
    });
    on.onSnapshot = [this](const std::vector<keyed_record>& all) {
        applyFollowStep(m_targets.listRead(decodeTargets(all), m_targetFeed.next(), boot_clock::now()));
    };
    on.onComplete = [this] {
        m_targetsFreshness.confirmed(m_targetFeed.freshAt());
        m_on.onReadComplete();
    };
    return on;
}

void cluster_view::start()
{
    m_startedAt = boot_clock::now();
    m_configurationFeed.start();
    m_targetFeed.start();
}

void cluster_view::startFromPeer()
{
    m_startedAt = boot_clock::now();
    m_configurationFeed.startAfter(backupReadInterval);
    m_targetFeed.startAfter(backupReadInterval);
}

// Reading must follow the registration: nodes that start together would otherwise read before the others have
// registered and never find each other. Of two nodes that register before reading, the later one reads the other's
// record. A node that got the list of nodes from a peer learns of later ones in the same way as that peer.
void cluster_view::onNodeRegistered()
{
    if (m_knowsNodes)
        m_nodeFeed.startAfter(nodeReadInterval);
    else
        m_nodeFeed.start();
}

void cluster_view::stop()
{
    m_configurationFeed.stop();
    m_targetFeed.stop();
    m_nodeFeed.stop();
}

void cluster_view::onReachChanged(std::string_view topic, bool isReachable, std::string_view reason)
{
    if (isReachable) {
        m_parts.log.write(log_event::store_reached, { { "topic", topic } });
    } else {
        m_parts.log.write(log_event::store_lost, { { "topic", topic }, { "reason", reason } });
        m_on.onStoreLost();
    }
    if (topic != "targets")
        return;
    // Only after a failure: a node that got the target list from a peer and reads the store for the first time, when it
    // becomes a reader, must not keep missing entries as if after an outage.
    const bool isBack = isReachable && std::exchange(m_wasTargetTopicLost, false);
    if (isBack && m_targets.hasList())
        m_targets.storeReturned(boot_clock::now());
    m_wasTargetTopicLost |= !isReachable;
}

void cluster_view::onConfigurationRecord(const keyed_record& record)
{
    if (!record.value || !m_parts.records.isConfiguration(record.key))
        return;
    auto decoded = m_parts.records.decodeConfiguration(*record.value);
    if (const auto* fault = std::get_if<record_fault>(&decoded)) {
        m_parts.counters.count("tamarack_configuration_faults_total");
        m_parts.log.write(log_event::configuration_invalid,
            { { "offset", record.offset }, { "field", fault->field }, { "message", fault->message } });
        return;
    }
    auto configuration = std::get<std::shared_ptr<const serving::serving_configuration>>(std::move(decoded));
    // Versions only increase: a record that is read again or comes from a lagging peer must not replace a newer
    // version.
    if (m_configuration && configuration->version() <= m_configuration->version())
        return;
    m_configuration = std::move(configuration);
    m_configurationRecord = record;
    m_compressedConfiguration.reset();
    m_parts.counters.set("tamarack_configuration_version", static_cast<double>(m_configuration->version()));
    m_parts.log.write(log_event::configuration_in_force,
        { { "version", m_configuration->version() }, { "offset", record.offset },
            { "routes", m_configuration->routes().size() } });
    m_on.onConfiguration(m_configuration);
}

void cluster_view::apply(const serving::target_changes& changes)
{
    const auto now = boot_clock::now();
    for (const auto& ended : changes.replaced)
        m_parts.decisions.targetGone(ended.instance, now);
    for (const auto& record : changes.listed)
        m_parts.decisions.targetListed(record);
    for (const auto& ended : changes.gone)
        m_parts.decisions.targetGone(ended.instance, now);
    logChanges(changes);
}

// One line for many changes: all nodes receive the same changes, so a line per target would make the log grow with the
// square of the fleet size and displace the lines about requests.
void cluster_view::logChanges(const serving::target_changes& changes) const
{
    const auto ended = changes.replaced.size() + changes.gone.size();
    if (changes.listed.size() + ended > maxSingleTargetLines) {
        name_sample names;
        for (const auto& record : changes.listed)
            names.add(record.instance());
        for (const auto& item : changes.gone)
            names.add(item.instance);
        const auto draining = std::count_if(
            changes.listed.begin(), changes.listed.end(), [](const auto& record) { return record.isDraining; });
        return m_parts.log.write(log_event::targets_changed,
            { { "listed", changes.listed.size() }, { "draining", draining }, { "gone", ended },
                { "known", m_parts.decisions.fleet().countListed() }, { "targets", names.text() } });
    }
    for (const auto* ends : { &changes.replaced, &changes.gone }) {
        for (const auto& item : *ends)
            m_parts.log.write(log_event::target_gone, { { "target", item.instance } });
    }
    for (const auto& record : changes.listed) {
        m_parts.log.write(log_event::target_listed,
            { { "target", record.instance() }, { "service", record.service }, { "address", record.address },
                { "build", record.build }, { "draining", record.isDraining }, { "role", static_cast<int>(record.role) },
                { "sequence", record.sequence } });
    }
}

std::vector<serving::target_update> cluster_view::decodeTargets(const std::vector<keyed_record>& records) const
{
    std::vector<serving::target_update> out;
    for (const auto& record : records) {
        serving::target_update update { record.offset, record.key, std::nullopt };
        if (record.value)
            decodeTarget(record, update);
        out.push_back(std::move(update));
    }
    return out;
}

// An entry overwritten by another writer counts as foreign rather than being ignored, since its former target would
// otherwise stay in use although nothing declares it any more.
void cluster_view::decodeTarget(const keyed_record& record, serving::target_update& update) const
{
    auto decoded = m_parts.records.decodeTarget(record.key, *record.value);
    if (const auto* fault = std::get_if<record_fault>(&decoded)) {
        update.isForeign = true;
        m_parts.counters.count("tamarack_target_record_faults_total");
        m_parts.log.write(log_event::target_record_invalid,
            { { "target", record.key }, { "field", fault->field }, { "message", fault->message } });
        return;
    }
    update.record = std::get<serving::target_record>(std::move(decoded));
}

void cluster_view::applyFollowStep(serving::follow_result step)
{
    apply(step.changes);
    if (step.batch && sharesReads())
        m_on.onTargetChanges(std::move(*step.batch));
    const auto now = boot_clock::now();
    if (!step.mustRead || now < m_targetCatchUpAt + catchUpInterval)
        return;
    m_targetCatchUpAt = now;
    if (m_isReader)
        m_targetFeed.readNow();
    else
        m_on.onBehind();
}

void cluster_view::readMissing()
{
    m_configurationFeed.readNow();
    if (m_targets.isBehind())
        m_targetFeed.readNow();
}

// Only offsets of readers make other nodes read: a change that another node has found by itself is already on its way
// in a note from the readers.
std::int64_t cluster_view::lastTargetChange() const { return sharesReads() ? m_targets.lastChange() : -1; }

void cluster_view::applyTargetNote(const serving::target_update_batch& note)
{
    applyFollowStep(m_targets.batchReceived(note, boot_clock::now()));
}

void cluster_view::onPeerTargetChange(std::int64_t offset)
{
    applyFollowStep(m_targets.peerOffsetReceived(offset, boot_clock::now()));
}

void cluster_view::setReader(bool isReader, bool isConfirmer)
{
    if (isReader == m_isReader && isConfirmer == m_isConfirmer)
        return;
    m_isConfirmer = isConfirmer;
    if (isReader != m_isReader) {
        m_isReader = isReader;
        m_parts.log.write(log_event::store_reading_changed,
            { { "for_zone", isReader }, { "configuration", toString(m_configurationFeed.reach()) },
                { "targets", toString(m_targetFeed.reach()) },
                { "configuration_age_ms", ageMilliseconds(m_configurationFeed.freshAt()) },
                { "targets_age_ms", ageMilliseconds(m_targetFeed.freshAt()) } });
        m_targets.setReadsInfrequently(!isReader);
    }
    applyReadIntervals();
    if (!isReader)
        return;
    m_targetFeed.readNow();
    m_configurationFeed.readNow();
}

void cluster_view::applyReadIntervals()
{
    using namespace serving::freshness_share;
    const double wait = m_isConfirmer ? confirmerWait : longPollShareOfBound;
    const double pause = m_isConfirmer ? confirmerPause : pauseShareOfBound;
    m_targetFeed.setPause(m_isReader ? share(pause, m_drainBound) : backupReadInterval);
    m_configurationFeed.setPause(m_isReader ? configurationPause : backupReadInterval);
    m_configurationFeed.setWait(m_isReader ? share(wait, m_configurationBound) : 0s);
    const auto maxRetryPause = m_isReader ? readerMaxRetryPause : followerRetryPause;
    for (auto* feed : { &m_configurationFeed, &m_targetFeed })
        feed->setRetryPauses(m_isReader ? readerFirstRetryPause : followerRetryPause, maxRetryPause);
    m_nodeFeed.setMaxRetryPause(maxRetryPause);
}

void cluster_view::checkStoreReach()
{
    applyReadIntervals();
    m_configurationFeed.readNow();
}

read_progress cluster_view::readProgress() const
{
    const auto count = [](instant at) { return at.time_since_epoch().count(); };
    read_progress out;
    out.configurationVersion = m_configuration ? m_configuration->version() : 0;
    out.configurationAt = count(m_configurationFeed.freshAt());
    // Target changes that this node reads are not sent to its peers, so their lists may be incomplete.
    if (!sharesReads())
        return out;
    out.lastTargetChange = lastTargetChange();
    out.targetsAt = count(m_targetFeed.freshAt());
    return out;
}

void cluster_view::onPeerReadProgress(const read_progress& note, instant configurationAt, instant targetsAt)
{
    const auto now = boot_clock::now();
    const auto version = m_configuration ? m_configuration->version() : 0;
    if (note.configurationAt != 0 && version >= note.configurationVersion)
        m_configurationFreshness.confirmed(std::min(configurationAt, now));
    if (note.targetsAt != 0 && m_targets.hasChangesUpTo(note.lastTargetChange))
        m_targetsFreshness.confirmed(std::min(targetsAt, now));
    if (m_isReader)
        return;
    m_configurationFeed.deferRetry(deferredRetryPause);
    m_targetFeed.deferRetry(deferredRetryPause);
}

void cluster_view::refreshIfStale(std::size_t rank, instant now)
{
    if (!hasConfiguration() || !hasTargets())
        return; // the initial reads are retried separately, at shorter intervals
    refresh("configuration", m_configurationFeed, m_configurationFreshness, rank, now);
    refresh("targets", m_targetFeed, m_targetsFreshness, rank, now);
}

void cluster_view::refresh(
    std::string_view topic, record_feed& feed, serving::freshness& freshness, std::size_t rank, instant now)
{
    if (!freshness.claimRefresh(rank, now))
        return;
    m_sharesReadsUntil = now + m_configurationBound;
    applyReadIntervals();
    m_parts.log.write(log_event::store_asked,
        { { "topic", topic },
            { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(freshness.age(now)).count() },
            { "rank", rank } });
    feed.readNow();
}

void cluster_view::onNodeRecord(const keyed_record& record)
{
    if (!record.value)
        return;
    const auto node = decodeNode(*record.value);
    if (!node) {
        m_parts.counters.count("tamarack_node_record_faults_total");
        return;
    }
    m_parts.nodes.applyRegistration(*node, boot_clock::now());
}

void cluster_view::onPeerVersion(std::uint64_t version)
{
    const auto now = boot_clock::now();
    const auto known = m_configuration ? m_configuration->version() : 0;
    if (version <= known || now < m_catchUpAt + catchUpInterval)
        return;
    m_catchUpAt = now;
    if (m_isReader)
        return m_configurationFeed.readNow();
    m_on.onBehind();
}

serving::store_reach cluster_view::storeReach() const
{
    const bool isConfigurationNewer = m_configurationFeed.reachUpdatedAt() > m_targetFeed.reachUpdatedAt();
    return isConfigurationNewer ? m_configurationFeed.reach() : m_targetFeed.reach();
}

bool cluster_view::isStoreLost() const
{
    return m_configurationFeed.reach() == serving::store_reach::lost
        || m_targetFeed.reach() == serving::store_reach::lost;
}

bool cluster_view::isStarting(instant now) const
{
    const auto last = std::max({ m_startedAt, m_configurationFeed.lastSuccessAt(), m_targetFeed.lastSuccessAt() });
    return now < last + firstReadDuration;
}

void cluster_view::applyState(const shared_state& state)
{
    const auto configuration = state.configuration ? decompress(*state.configuration) : std::nullopt;
    if (configuration) {
        onConfigurationRecord(*configuration);
        m_configurationFeed.skipTo(configuration->offset + 1);
    }
    applyFollowStep(m_targets.snapshotReceived(state.targets, boot_clock::now()));
    for (const auto& node : state.nodes)
        m_parts.nodes.applyReport(node, boot_clock::now());
    for (const auto& limit : state.limits)
        m_parts.decisions.limits().apply(limit, boot_clock::now());
    auto& origins = m_parts.decisions.origins();
    origins.builds().add(state.builds, boot_clock::now());
    if (state.targets.upTo >= 0)
        origins.adoptHistory(state.buildHistory, boot_clock::now());
    m_knowsNodes |= state.knowsNodes;
    if (!state.quarantine.empty())
        m_on.onQuarantine(state.quarantine);
}

shared_state cluster_view::exportConfiguration()
{
    if (m_configurationRecord && !m_compressedConfiguration)
        m_compressedConfiguration = compress(*m_configurationRecord);
    shared_state out;
    out.configuration = m_compressedConfiguration;
    return out;
}

shared_state cluster_view::exportState(const serving::node_state& self)
{
    auto out = exportConfiguration();
    out.targets = m_targets.known();
    out.nodes = m_parts.nodes.reports(boot_clock::now());
    out.quarantine = m_parts.decisions.quarantine().records(boot_clock::now());
    out.limits = m_parts.decisions.limits().reports(boot_clock::now());
    const auto& origins = m_parts.decisions.origins();
    out.builds = origins.builds().recent(boot_clock::now());
    out.buildHistory = origins.historyToShare(boot_clock::now());
    out.nodes.push_back({ self, duration::zero() });
    // Anyone may ask for the state; heartbeats bring the keys to peers.
    for (auto& node : out.nodes)
        node.state.detourKey.clear();
    out.knowsNodes = knowsNodes();
    out.isStoreReachable = storeReach() == serving::store_reach::reached;
    return out;
}

void cluster_view::tick(instant now)
{
    if (now < m_nextTickAt)
        return;
    m_nextTickAt = now + tickInterval;
    applyFollowStep(m_targets.tick(now));
}

}
