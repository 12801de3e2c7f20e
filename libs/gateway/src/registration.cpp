// Appends one record; its offset determines the incarnation.
#include "registration.h"

namespace tamarack {

namespace {

    /// Pause after a failed append. A lost response may leave two records of the same process, of which the later one
    /// counts.
    constexpr std::chrono::milliseconds initialRetryPause { 700 };
    /// Peers learn of the node from its heartbeats meanwhile, and callers learn of it from its peers.
    constexpr std::chrono::milliseconds maxRetryPause { 5000 };

}

registration::registration(keyed_log& store, self_source self, const logger& log, std::function<void()> onRegistered)
    : m_store(store)
    , m_self(std::move(self))
    , m_log(log)
    , m_onRegistered(std::move(onRegistered))
    , m_retries(initialRetryPause, maxRetryPause)
{
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, [this] { start(); });
}

void registration::start()
{
    const auto self = m_self();
    m_store.append(store_topic::nodes, self.vm, encodeNode(self),
        [this](const store_result<std::int64_t>& result) { onResponse(result); });
}

void registration::onResponse(const store_result<std::int64_t>& result)
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
