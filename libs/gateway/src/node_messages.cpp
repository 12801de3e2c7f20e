// Encodes messages with cereal's portable binary archive, prefixed by a version byte.
#include "node_messages.h"

#include <QByteArray>
#include <QtEndian>
#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cmath>
#include <limits>
#include <sstream>

namespace tamarack {

namespace {

    /// Messages of another version are dropped as unreadable, so only nodes of the same version communicate.
    constexpr char formatVersion = 21;
    /// A datagram that is not fragmented holds 1,472 bytes. A load entry takes 6 bytes, a job 27, a cache update 16, a
    /// target's health 8, a role change 4, a quarantine record up to 91, and the sender some 35, or 140 with its full
    /// state. There are rarely many role changes, and then only before there is any load.
    constexpr std::size_t maxLoads = 60;
    constexpr std::size_t maxJobs = 18;
    constexpr std::size_t maxCacheUpdates = 12;
    constexpr std::size_t maxUpdatesPerBatch = 80;
    constexpr std::size_t maxHealthReports = 12;
    constexpr std::size_t maxRoleChanges = 30;
    constexpr std::size_t maxQuarantineBytes = 1'300;
    /// Encoded size of a quarantine record without its targets.
    constexpr std::size_t quarantineRecordBytes = 43;
    constexpr std::size_t maxOriginNotes = 80; // of 14 bytes
    /// A record with more targets than any node collects is malformed.
    constexpr std::size_t maxQuarantineTargets = 16;
    constexpr std::size_t maxLimitReports = 50; // of 22 bytes
    /// Limit of the changes in one note, besides the note's own 40 bytes; a single larger change is sent alone.
    constexpr std::size_t maxNoteBytes = 1'300;
    /// Encoded size of a change without the contents of its strings: their length fields and the numbers.
    constexpr std::size_t changeOverhead = 90;

    /// The fastest level already compresses a configuration to a tenth, in a third of the time of the default level.
    constexpr int fastestCompression = 1;
    constexpr std::size_t sizePrefixBytes = 4;
    /// The store accepts records of at most a quarter of a megabyte in one piece, and configurations have some
    /// megabytes at most.
    constexpr std::uint32_t maxDecompressedBytes = 64U << 20;

    std::size_t sizeOf(const serving::target_update& update)
    {
        std::size_t size = changeOverhead + update.name.size();
        if (const auto& record = update.record)
            size += record->service.size() + record->address.size() + record->availabilityZone.size()
                + record->build.size();
        return size;
    }

    /// Archives a list of at most 255 entries with a one-byte count. Cereal's own counts take eight bytes each, of
    /// which a heartbeat would have five.
    template <class Archive, class Entry> void archiveShort(Archive& archive, std::vector<Entry>& list)
    {
        auto count = static_cast<std::uint8_t>(std::min<std::size_t>(list.size(), 255));
        archive(count);
        list.resize(count);
        for (auto& entry : list)
            archive(entry);
    }

    /// A string of at most 65,535 bytes, archived with a two-byte length.
    struct short_text {
        std::string& text;
    };

    template <class Archive> void save(Archive& archive, const short_text& item)
    {
        archive(static_cast<std::uint16_t>(item.text.size()), cereal::binary_data(item.text.data(), item.text.size()));
    }

    template <class Archive> void load(Archive& archive, short_text& item)
    {
        std::uint16_t size = 0;
        archive(size);
        item.text.resize(size);
        archive(cereal::binary_data(item.text.data(), item.text.size()));
    }

    template <class Message> std::string encode(const Message& message)
    {
        std::ostringstream stream(std::ios::binary);
        stream.put(formatVersion);
        {
            cereal::PortableBinaryOutputArchive archive(stream);
            archive(message);
        }
        return std::move(stream).str();
    }

    template <class Message> std::optional<Message> decode(const std::string& bytes)
    {
        if (bytes.empty() || bytes.front() != formatVersion)
            return std::nullopt;
        try {
            std::istringstream stream(bytes.substr(1), std::ios::binary);
            cereal::PortableBinaryInputArchive archive(stream);
            Message message;
            archive(message);
            return message;
        } catch (const std::exception&) {
            return std::nullopt; // the caller counts it; truncated or forged bytes are expected on a network
        }
    }

}

namespace serving {

    template <class Archive> void serialize(Archive& archive, node_state& m)
    {
        archive(m.vm, m.incarnation, m.availabilityZone, m.address, m.callerPort, m.peerPort, m.adminPort, m.isReady,
            m.isStopping, m.configurationVersion, m.storeReach, m.lastTargetChange, m.readsForOthers, m.linkMegabits,
            m.knownNodes, m.detourKey, m.requestsPerSecond, m.busyPercent);
    }

    template <class Archive> void serialize(Archive& archive, node_status& m)
    {
        archive(m.node, m.incarnation, m.configurationVersion, m.lastTargetChange, m.isReady, m.isStopping,
            m.storeReach, m.readsForOthers, m.knownNodes, m.busyPercent);
    }

    template <class Archive> void serialize(Archive& archive, node_report& m)
    {
        auto silence = m.silence.count();
        archive(m.state, silence);
        m.silence = duration(silence);
    }

    template <class Archive> void serialize(Archive& archive, load_entry& m) { archive(m.target, m.running); }

    template <class Archive> void serialize(Archive& archive, health_report& m)
    {
        archive(m.target, m.answers, m.failures);
    }

    template <class Archive> void serialize(Archive& archive, target_record& m)
    {
        auto coldTime = m.coldTime.count();
        archive(m.name, m.bornAt, m.service, m.address, m.availabilityZone, m.build, m.slots, m.isDraining, coldTime,
            m.role, m.sequence);
        m.coldTime = duration(coldTime);
    }

    template <class Archive> void serialize(Archive& archive, target_update& m)
    {
        archive(m.offset, m.name, m.record);
        if (m.record)
            m.record->name = m.name; // sent only once
    }

    template <class Archive> void serialize(Archive& archive, relay_payload& m)
    {
        auto count = static_cast<std::uint8_t>(std::min<std::size_t>(m.messages.size(), 255));
        archive(m.step, m.pace, count);
        m.messages.resize(count);
        for (auto& message : m.messages) {
            short_text text { message };
            archive(text);
        }
    }

    template <class Archive> void serialize(Archive& archive, target_list_snapshot& m) { archive(m.targets, m.upTo); }

    template <class Archive> void serialize(Archive& archive, target_update_batch& m)
    {
        archive(m.previous, m.upTo, m.changes);
    }

    template <class Archive> void serialize(Archive& archive, path_report& m)
    {
        archive(m.node, m.lostCount, m.isCutOff);
        archiveShort(archive, m.lost);
    }

    /// A time in whole seconds, rounded up.
    template <class Archive> void archiveSeconds(Archive& archive, duration& time)
    {
        auto count = static_cast<std::uint16_t>(std::chrono::ceil<std::chrono::seconds>(time).count());
        archive(count);
        time = std::chrono::seconds(count);
    }

    template <class Archive> void serialize(Archive& archive, origin_note& m)
    {
        archive(m.stream.value, m.build.value);
        archiveSeconds(archive, m.lifetime);
    }

    /// A time in milliseconds.
    template <class Archive> void archiveMilliseconds(Archive& archive, duration& time)
    {
        constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
        const auto exact = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
        auto count = static_cast<std::uint32_t>(std::clamp<std::int64_t>(exact, 0, most));
        archive(count);
        time = std::chrono::milliseconds(count);
    }

    template <class Archive> void serialize(Archive& archive, limit_report& m)
    {
        double perSecond = m.rate ? m.rate->perSecond : -1;
        archive(m.target, perSecond);
        archiveMilliseconds(archive, m.askedAge);
        archiveMilliseconds(archive, m.answeredAge);
        if (Archive::is_loading::value && !std::isfinite(perSecond))
            throw cereal::Exception("a limit is not a number");
        m.rate = perSecond >= 0 ? std::optional(request_rate { perSecond }) : std::nullopt;
    }

    template <class Archive> void serialize(Archive& archive, permit_ask& m)
    {
        archive(m.target, m.use);
        archiveMilliseconds(archive, m.lifetime);
        if (Archive::is_loading::value && m.use >= permit_use::count)
            throw cereal::Exception("unknown use of a permit");
    }

    template <class Archive> void serialize(Archive& archive, permit_grant& m)
    {
        archive(m.target, m.count);
        archiveMilliseconds(archive, m.lifetime);
    }

    template <class Archive> void serialize(Archive& archive, origin_notes& m) { archiveShort(archive, m.notes); }

    template <class Archive> void serialize(Archive& archive, origin_question& m)
    {
        archive(m.number, m.stream.value);
        archiveShort(archive, m.scope.services);
        archiveSeconds(archive, m.scope.lifetime);
    }

    template <class Archive> void serialize(Archive& archive, origin_reply& m)
    {
        archive(m.number, m.build.value, m.isComplete);
        auto count = static_cast<std::uint8_t>(std::min<std::size_t>(m.builds.size(), 255));
        archive(count);
        m.builds.resize(count);
        for (auto& build : m.builds)
            archive(build.value);
    }

    template <class Archive> void serialize(Archive& archive, build_sighting& m)
    {
        archive(m.service, m.build.value);
        archiveSeconds(archive, m.age);
    }

    template <class Archive> void serialize(Archive& archive, prefill_report& m)
    {
        archive(m.target, m.number, m.rank, m.work, m.ageMilliseconds, m.part, m.partTokens);
    }

}

template <class Archive> void serialize(Archive& archive, request_trait& m)
{
    archive(m.kind, m.account, m.content);
    if (Archive::is_loading::value && m.kind >= trait_kind::count)
        throw cereal::Exception("unknown kind of a quarantine record");
}

template <class Archive> void serialize(Archive& archive, quarantine_trial& m) { archive(m.round, m.node, m.sent); }

template <class Archive> void serialize(Archive& archive, quarantine_record& m)
{
    auto ageMilliseconds
        = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m.age).count());
    auto firstAgeMilliseconds
        = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m.firstAge).count());
    archive(m.trait, m.account, m.clearances, ageMilliseconds, firstAgeMilliseconds, m.hasBegun, m.trial, m.isStored);
    m.age = std::chrono::milliseconds(ageMilliseconds);
    m.firstAge = std::chrono::milliseconds(firstAgeMilliseconds);
    archiveShort(archive, m.targets);
    if (Archive::is_loading::value && m.targets.size() > maxQuarantineTargets)
        throw cereal::Exception("too many targets in a quarantine record");
}

template <class Archive> void serialize(Archive& archive, quarantine_note& m) { archiveShort(archive, m.records); }

template <class Archive> void serialize(Archive& archive, usage_count& m) { archive(m.account, m.requests); }

template <class Archive> void serialize(Archive& archive, usage_report& m)
{
    archive(m.node, m.process, m.window, m.isFinal, m.total);
    archiveShort(archive, m.counts);
}

template <class Archive> void serialize(Archive& archive, cache_update& m) { archive(m.target, m.part, m.tokens); }

template <class Archive> void serialize(Archive& archive, node_heartbeat& m)
{
    archive(m.pulse, m.fullState);
    archiveShort(archive, m.load);
    archiveShort(archive, m.jobs);
    archiveShort(archive, m.caches);
    archiveShort(archive, m.health);
    archiveShort(archive, m.changingEngines);
    archive(m.quarantine, m.limit);
}

template <class Archive> void serialize(Archive& archive, limit_note& m) { archiveShort(archive, m.limits); }

template <class Archive> void serialize(Archive& archive, permit_request& m) { archiveShort(archive, m.asks); }

template <class Archive> void serialize(Archive& archive, permit_reply& m) { archiveShort(archive, m.grants); }

template <class Archive> void serialize(Archive& archive, job_announcement& m)
{
    archive(m.node);
    archiveShort(archive, m.jobs);
}

template <class Archive> void serialize(Archive& archive, cache_update_batch& m) { archiveShort(archive, m.caches); }

template <class Archive> void serialize(Archive& archive, read_progress& m)
{
    archive(m.node, m.startedAt, m.sentAt, m.configurationVersion, m.configurationAt, m.lastTargetChange, m.targetsAt);
}

template <class Archive> void serialize(Archive& archive, list_position& m)
{
    archive(m.node, m.startedAt, m.sentAt, m.lastTargetChange);
}

template <class Archive> void serialize(Archive& archive, cache_snapshot& m) { archive(m.parts, m.isComplete); }

template <class Archive> void serialize(Archive& archive, node_probe& m) { archive(m.sender, m.expectsReply); }

template <class Archive> void serialize(Archive& archive, compressed_record& m) { archive(m.offset, m.key, m.bytes); }

template <class Archive> void serialize(Archive& archive, shared_state& m)
{
    auto buildHistory = m.buildHistory.count();
    archive(m.configuration, m.targets, m.nodes, m.quarantine, m.limits, m.builds, buildHistory, m.knowsNodes,
        m.isStoreReachable);
    m.buildHistory = duration(buildHistory);
}

namespace {

    std::string compressBytes(std::string_view value)
    {
        return qCompress(
            reinterpret_cast<const uchar*>(value.data()), static_cast<qsizetype>(value.size()), fastestCompression)
            .toStdString();
    }

    std::optional<std::string> decompressBytes(std::string_view bytes)
    {
        // The compressed bytes start with the decompressed size, which determines the allocation.
        if (bytes.size() < sizePrefixBytes || qFromBigEndian<std::uint32_t>(bytes.data()) > maxDecompressedBytes)
            return std::nullopt;
        const auto value = qUncompress(QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size())));
        return value.isEmpty() ? std::nullopt : std::optional(value.toStdString());
    }

}

compressed_record compress(const keyed_record& record)
{
    return { record.offset, record.key, compressBytes(record.value ? *record.value : std::string()) };
}

std::optional<keyed_record> decompress(const compressed_record& record)
{
    auto value = decompressBytes(record.bytes);
    if (!value)
        return std::nullopt;
    return keyed_record { record.offset, record.key, std::move(*value) };
}

std::string encodeDatagram(peer_datagram message)
{
    if (auto* heartbeat = std::get_if<node_heartbeat>(&message)) {
        heartbeat->load.resize(std::min(heartbeat->load.size(), maxLoads));
        heartbeat->jobs.resize(std::min(heartbeat->jobs.size(), maxJobs));
        heartbeat->caches.resize(std::min(heartbeat->caches.size(), maxCacheUpdates));
        heartbeat->health.resize(std::min(heartbeat->health.size(), maxHealthReports));
        heartbeat->changingEngines.resize(std::min(heartbeat->changingEngines.size(), maxRoleChanges));
        if (heartbeat->fullState)
            heartbeat->quarantine.reset(); // one of the next heartbeats repeats it
    }
    return encode(message);
}

std::vector<serving::target_update_batch> splitTargetNote(serving::target_update_batch note)
{
    std::vector<serving::target_update_batch> notes { { note.previous, note.previous, {} } };
    std::size_t bytes = 0;
    for (auto& change : note.changes) {
        const std::size_t size = sizeOf(change);
        if (bytes > 0 && bytes + size > maxNoteBytes) {
            const auto reached = notes.back().upTo;
            notes.push_back({ reached, reached, {} });
            bytes = 0;
        }
        auto& last = notes.back();
        last.upTo = std::clamp(change.offset, last.upTo, std::max(last.upTo, note.upTo));
        last.changes.push_back(std::move(change));
        bytes += size;
    }
    notes.back().upTo = note.upTo;
    return notes;
}

std::optional<peer_datagram> decodeDatagram(const std::string& bytes) { return decode<peer_datagram>(bytes); }

std::string encodeRelayPayload(const serving::relay_payload& load) { return encode(load); }

std::optional<serving::relay_payload> decodeRelayPayload(const std::string& bytes)
{
    auto load = decode<serving::relay_payload>(bytes);
    const bool isValid = load && load->step < serving::relay_hop::count && load->pace < serving::send_pace::count;
    return isValid ? std::move(load) : std::nullopt;
}

std::string encodeState(const shared_state& state) { return compressBytes(encode(state)); }

std::optional<shared_state> decodeState(const std::string& bytes)
{
    const auto message = decompressBytes(bytes);
    return message ? decode<shared_state>(*message) : std::nullopt;
}

std::vector<cache_update_batch> splitCacheUpdates(std::vector<cache_update> caches)
{
    std::vector<cache_update_batch> notes;
    for (auto& update : caches) {
        if (notes.empty() || notes.back().caches.size() >= maxUpdatesPerBatch)
            notes.emplace_back();
        notes.back().caches.push_back(update);
    }
    return notes;
}

std::vector<serving::origin_message> splitOrigins(serving::origin_message message)
{
    const auto* all = std::get_if<serving::origin_notes>(&message);
    if (!all)
        return { std::move(message) };
    std::vector<serving::origin_message> out;
    for (std::size_t i = 0; i < all->notes.size(); i += maxOriginNotes) {
        const auto from = all->notes.begin() + static_cast<std::ptrdiff_t>(i);
        const auto count = std::min(maxOriginNotes, all->notes.size() - i);
        out.push_back(serving::origin_notes { { from, from + static_cast<std::ptrdiff_t>(count) } });
    }
    return out;
}

std::vector<quarantine_note> splitQuarantineNote(std::vector<quarantine_record> records)
{
    std::vector<quarantine_note> notes;
    std::size_t bytes = 0;
    for (auto& record : records) {
        const auto size = quarantineRecordBytes + record.targets.size() * sizeof(std::uint32_t);
        if (notes.empty() || bytes + size > maxQuarantineBytes) {
            notes.emplace_back();
            bytes = 0;
        }
        bytes += size;
        notes.back().records.push_back(std::move(record));
    }
    return notes;
}

std::vector<limit_note> splitLimits(const std::vector<serving::limit_report>& limits)
{
    std::vector<limit_note> notes;
    for (const auto& report : limits) {
        if (notes.empty() || notes.back().limits.size() >= maxLimitReports)
            notes.emplace_back();
        notes.back().limits.push_back(report);
    }
    return notes;
}

std::string encodeQuarantine(const quarantine_record& record) { return encode(record); }

std::optional<quarantine_record> decodeQuarantine(const std::string& bytes) { return decode<quarantine_record>(bytes); }

std::string encodeCaches(const cache_snapshot& caches) { return encode(caches); }

std::optional<cache_snapshot> decodeCaches(const std::string& bytes) { return decode<cache_snapshot>(bytes); }

std::string encodeNode(const serving::node_state& node) { return encode(node); }

std::optional<serving::node_state> decodeNode(const std::string& bytes) { return decode<serving::node_state>(bytes); }

}
