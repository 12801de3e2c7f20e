// Implements the reads and writes of quarantines in the store.
#include "quarantine_sync.h"

#include "observe/name_sample.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// Peers send each other their records; the store is read in case none of them does.
    constexpr duration backupReadInterval = 300s;
    /// Read interval of a writer while it does not hear some nodes.
    constexpr duration followInterval = 1s;
    constexpr duration firstRetryPause = 200ms;
    constexpr duration maxRetryPause = 5s;

}

quarantine_sync::quarantine_sync(dependencies parts)
    : m_parts(std::move(parts))
    , m_feed(m_parts.store, { store_topic::quarantine, 0s, backupReadInterval, firstRetryPause, maxRetryPause },
          { [this](const auto& records) { onRecords(records); }, [this](const auto& records) { onRecords(records); },
              [](bool, std::string_view) {} })
    , m_retries(firstRetryPause, maxRetryPause)
{
}

void quarantine_sync::onRecords(const std::vector<keyed_record>& records)
{
    std::vector<quarantine_record> decoded;
    for (const auto& record : records) {
        auto item = record.value ? decodeQuarantine(*record.value) : std::nullopt;
        if (!item)
            continue; // removed, or written by another version
        item->isStored = true;
        decoded.push_back(std::move(*item));
    }
    if (!decoded.empty())
        apply(decoded);
}

void quarantine_sync::apply(const std::vector<quarantine_record>& records)
{
    serving::command_list commands;
    m_parts.decisions.applyQuarantine(records, boot_clock::now(), commands);
    m_parts.execute(std::move(commands));
}

void quarantine_sync::followStore(bool isFollowing)
{
    if (isFollowing == m_isFollowing)
        return;
    m_isFollowing = isFollowing;
    m_feed.setPause(isFollowing ? followInterval : backupReadInterval);
    if (isFollowing)
        m_feed.readNow();
}

void quarantine_sync::tick(bool isWriter, bool areNodesSilent, instant now)
{
    followStore(isWriter && areNodesSilent);
    auto& quarantine = m_parts.decisions.quarantine();
    for (const auto& change : quarantine.takeChanges())
        logChange(change);
    const auto ended = quarantine.takeEnded();
    if (!isWriter)
        return m_toRemove.clear();
    m_toRemove.insert(m_toRemove.end(), ended.begin(), ended.end());
    if (!m_isWriting && now >= m_nextWriteAt)
        write(now);
}

void quarantine_sync::write(instant now)
{
    const auto removed = m_toRemove.empty() ? std::optional<request_trait>() : std::optional(m_toRemove.front());
    const auto added = removed ? std::nullopt : m_parts.decisions.quarantine().nextToStore(now);
    if (!removed && !added)
        return;
    m_isWriting = true;
    // A record without a value removes its key.
    m_parts.store.append(store_topic::quarantine, toString(removed ? *removed : added->trait),
        removed ? std::string() : encodeQuarantine(*added), [this, removed, added](const auto& result) {
            const bool isWritten = std::holds_alternative<std::int64_t>(result);
            if (isWritten && removed)
                std::erase(m_toRemove, *removed);
            if (isWritten && added)
                m_parts.decisions.quarantine().setStored(added->trait);
            onWritten(isWritten);
        });
}

void quarantine_sync::onWritten(bool isWritten)
{
    m_isWriting = false;
    if (isWritten)
        m_retries.succeeded();
    else
        m_nextWriteAt = boot_clock::now() + m_retries.nextDelay();
}

std::string quarantine_sync::targetName(std::uint32_t hash) const
{
    const auto& fleet = m_parts.decisions.fleet();
    const auto target = fleet.findByHash(hash);
    return target.isValid() ? fleet.instance[target.value] : "unknown";
}

std::string quarantine_sync::describe(instant now) const
{
    const auto& quarantine = m_parts.decisions.quarantine();
    QJsonArray list;
    for (const auto& record : quarantine.records(now)) {
        if (!quarantine.isQuarantined(record.trait))
            continue;
        QJsonArray targets;
        for (const auto hash : record.targets)
            targets.append(QString::fromStdString(targetName(hash)));
        list.append(QJsonObject { { "digest", QString::fromStdString(toString(record.trait)) },
            { "kind", QString::fromLatin1(toString(record.trait.kind)) },
            { "account", QString::fromStdString(detail::hashDigits(record.account)) }, { "targets", targets },
            { "trials", record.trial.sent },
            { "held_back_here", static_cast<qint64>(quarantine.countHeldBack(record.trait)) },
            { "age_seconds", seconds(record.age) }, { "stored", record.isStored } });
    }
    const auto suspected = quarantine.countRecords() - quarantine.countQuarantined();
    const QJsonObject body { { "quarantined", list }, { "suspected", static_cast<qint64>(suspected) } };
    return QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
}

void quarantine_sync::logChange(const quarantine_change& change) const
{
    const auto& record = change.record;
    if (!change.isQuarantined)
        return m_parts.log.write(log_event::quarantine_ended,
            { { "digest", toString(record.trait) }, { "kind", toString(record.trait.kind) },
                { "clearances", record.clearances },
                { "held_back", m_parts.decisions.quarantine().countHeldBack(record.trait) },
                { "left", m_parts.decisions.quarantine().countQuarantined() } });
    name_sample names;
    for (const auto hash : record.targets)
        names.add(targetName(hash));
    m_parts.log.write(log_event::request_quarantined,
        { { "digest", toString(record.trait) }, { "kind", toString(record.trait.kind) },
            { "account", detail::hashDigits(record.account) }, { "targets", names.text() },
            { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(record.age).count() },
            { "quarantined", m_parts.decisions.quarantine().countQuarantined() } });
}

}
