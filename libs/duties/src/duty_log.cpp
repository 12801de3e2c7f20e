// Implements the statements of the duties' holder.
#include "duties/duty_log.h"

#include <algorithm>

namespace tamarack {

namespace {

    /// Usage statements kept in memory; the store keeps fewer.
    constexpr std::size_t maxUsageStatements = 32;

}

duty_log::duty_log(std::string vm, std::int64_t process, serving::order_lease_settings lease)
    : m_vm(std::move(vm))
    , m_process(process)
    , m_lease(lease)
{
}

void duty_log::readCompleted(const std::vector<stored_statement>& records, std::int64_t end, instant now)
{
    m_isRead = true;
    bool isLastOwn = false;
    for (const auto& stored : records) {
        const auto record = decodeDutyRecord(stored.value);
        if (!record)
            continue;
        apply(record->statement);
        isLastOwn |= stored.offset == end - 1 && record->holder == m_vm && record->process == m_process;
    }
    if (isLastOwn)
        m_lease.foundOwnEnd(end);
    else if (end > 0)
        m_lease.foundEnd(end, now);
}

std::optional<std::int64_t> duty_log::appendAt(instant now) const
{
    return m_isRead ? m_lease.claimAt(now) : std::nullopt;
}

duty_record duty_log::appendSent(duty_statement statement, instant now)
{
    m_lease.claimSent(now);
    m_pending = statement;
    return { m_vm, m_process, std::move(statement) };
}

void duty_log::appended(std::int64_t offset)
{
    m_lease.claimed(offset);
    apply(*m_pending);
    m_pending.reset();
}

void duty_log::appendRejected()
{
    m_lease.claimRejected();
    m_isRead = false;
    m_pending.reset();
}

void duty_log::appendFailed(instant now)
{
    m_lease.claimFailed(now);
    m_isRead = false;
    m_pending.reset();
}

void duty_log::apply(const duty_statement& statement)
{
    if (const auto* instances = std::get_if<instance_statement>(&statement)) {
        m_instances = *instances;
        return;
    }
    const auto& usage = std::get<usage_statement>(statement);
    m_usage.try_emplace(usage.window, usage);
    if (m_usage.size() > maxUsageStatements)
        m_usage.erase(m_usage.begin());
}

const usage_statement* duty_log::usageOf(std::int64_t window) const
{
    const auto found = m_usage.find(window);
    return found == m_usage.end() ? nullptr : &found->second;
}

const instance_statement* duty_log::instances() const { return m_instances ? &*m_instances : nullptr; }

}
