// Idempotency keys of non-idempotent requests.
#include "decide/key_registry.h"

#include "base/contract.h"

#include <algorithm>
#include <charconv>

namespace tamarack {

namespace {
    constexpr int sweepsPerRetention = 20;

    std::int64_t milliseconds(instant at)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
    }
}

std::string toString(const key_home& home) { return toString(home.instance) + "/" + std::to_string(home.issuedAt); }

std::optional<key_home> parseKeyHome(const std::string& text)
{
    const auto slash = text.rfind('/');
    if (slash == std::string::npos)
        return std::nullopt;
    key_home home;
    home.instance = parseInstance(text.substr(0, slash));
    const char* first = text.data() + slash + 1;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, home.issuedAt);
    if (!home.instance.isValid() || error != std::errc() || end != last || first == last)
        return std::nullopt;
    return home;
}

key_registry::key_registry(instance_id self, duration retention, std::size_t maxBytes)
    : m_self(std::move(self))
    , m_retention(retention)
    , m_maxBytes(maxBytes)
{
}

key_home key_registry::issue(instant now) const { return { m_self, milliseconds(now) }; }

// An entry is removed one retention time after its last change, which is never before its home was issued. If the home
// was issued less than the retention time ago, a missing entry therefore proves that the key was never used here. With
// an older home it proves nothing, and neither does it with one that is older than an outcome that was forgotten.
bool key_registry::isStale(const key_home& home, instant now) const
{
    const auto age = std::chrono::milliseconds(milliseconds(now) - home.issuedAt);
    return age >= m_retention || age < std::chrono::milliseconds(0) || home.issuedAt <= m_forgottenUntil;
}

key_answer key_registry::describe(const entry& known) const
{
    switch (known.state) {
    case key_state::running:
        return { key_decision::join, {}, {} };
    case key_state::answered:
        return { key_decision::replay, known.storedAnswer, {} };
    case key_state::delegated:
        return { key_decision::moved, {}, known.delegatedTo };
    case key_state::unknown:
        break;
    }
    return { key_decision::unknown, {}, {} };
}

std::size_t key_registry::bytesOf(const std::string& key, const entry& known)
{
    constexpr std::size_t overheadBytes = 64; // of the table
    return sizeof(entry) + overheadBytes + key.size() + known.storedAnswer.size();
}

void key_registry::erase(const std::string& key)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    m_bytes -= bytesOf(key, found->second);
    m_entries.erase(found);
}

void key_registry::store(const std::string& key, entry known)
{
    erase(key);
    m_bytes += bytesOf(key, known);
    if (known.state != key_state::running)
        m_byAge.emplace_back(known.changedAt, key);
    m_entries[key] = std::move(known);
    forgetOldest();
}

void key_registry::forgetOldest()
{
    while (m_bytes > m_maxBytes && !m_byAge.empty()) {
        const auto [changedAt, key] = std::move(m_byAge.front());
        m_byAge.pop_front();
        const auto found = m_entries.find(key);
        if (found == m_entries.end() || found->second.changedAt != changedAt
            || found->second.state == key_state::running)
            continue;
        m_forgottenUntil = std::max(m_forgottenUntil, milliseconds(changedAt));
        erase(key);
    }
}

key_answer key_registry::begin(const std::string& key, instant now)
{
    store(key, { key_state::running, now, {}, {} });
    return { key_decision::run, {}, {} };
}

key_answer key_registry::onRequest(const std::string& key, const key_home& home, instant now)
{
    TAMARACK_ASSERT(home.instance == m_self, "only the home decides about a key");
    if (const auto found = m_entries.find(key); found != m_entries.end())
        return describe(found->second);
    if (isStale(home, now))
        return { key_decision::unknown, {}, {} };
    return begin(key, now);
}

key_answer key_registry::onDelegationRequest(
    const instance_id& asker, const std::string& key, const key_home& home, instant now)
{
    TAMARACK_ASSERT(home.instance == m_self, "only the home decides about a key");
    if (const auto found = m_entries.find(key); found != m_entries.end()) {
        // The first response may have been lost, so the right is granted to the same instance each time it asks.
        if (found->second.state == key_state::delegated && found->second.delegatedTo == asker)
            return { key_decision::run, {}, {} };
        return describe(found->second);
    }
    if (isStale(home, now))
        return { key_decision::unknown, {}, {} };
    store(key, { key_state::delegated, now, {}, asker });
    return { key_decision::run, {}, {} };
}

key_answer key_registry::onDelegated(const std::string& key, instant now)
{
    if (const auto found = m_entries.find(key); found != m_entries.end())
        return describe(found->second);
    return begin(key, now);
}

void key_registry::onAnswer(const std::string& key, std::string storedAnswer, instant now)
{
    store(key, { key_state::answered, now, std::move(storedAnswer), {} });
}

void key_registry::onNotExecuted(const std::string& key) { erase(key); }

void key_registry::onOutcomeUnknown(const std::string& key, instant now)
{
    store(key, { key_state::unknown, now, {}, {} });
}

void key_registry::tick(instant now)
{
    if (now < m_lastSweep + m_retention / sweepsPerRetention)
        return;
    m_lastSweep = now;
    while (!m_byAge.empty() && now >= m_byAge.front().first + m_retention) {
        const auto [changedAt, key] = std::move(m_byAge.front());
        m_byAge.pop_front();
        const auto found = m_entries.find(key);
        if (found != m_entries.end() && found->second.state != key_state::running
            && found->second.changedAt == changedAt)
            erase(key);
    }
}

}
