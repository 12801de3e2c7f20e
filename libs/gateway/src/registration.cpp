// One record; where it stands in the store is the incarnation.
#include "registration.h"

namespace tamarack {

namespace {

    /// After a failed append. A lost answer may leave two records of this life: the later one counts.
    constexpr std::chrono::milliseconds firstPause { 700 };
    /// Peers hear of the node by its heartbeats meanwhile, and callers by theirs.
    constexpr std::chrono::milliseconds longestPause { 5000 };

}

registration::registration(keyed_log& store, self_source self, const logger& log, std::function<void()> onRegistered)
    : m_store(store)
    , m_self(std::move(self))
    , m_log(log)
    , m_onRegistered(std::move(onRegistered))
    , m_retries(firstPause, longestPause)
{
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, [this] { start(); });
}

void registration::start()
{
    const auto self = m_self();
    m_store.append(store_topic::nodes, self.vm, encodeNode(self),
        [this](const store_result<std::int64_t>& result) { answered(result); });
}

void registration::answered(const store_result<std::int64_t>& result)
{
    if (const auto* error = std::get_if<store_error>(&result)) {
        m_log.write(log_event::registration_failed, { { "reason", toString(*error) } });
        return m_timer.start(std::chrono::duration_cast<std::chrono::milliseconds>(m_retries.nextDelay()));
    }
    m_incarnation = static_cast<std::uint64_t>(std::get<std::int64_t>(result)) + 1;
    m_log.write(log_event::registered, { { "incarnation", m_incarnation } });
    m_onRegistered();
}

}
