// Keys of non-idempotent requests.
#include "decide/key_registry.h"

#include "base/contract.h"

#include <charconv>

namespace tamarack {

namespace {
    constexpr int sweepsPerMemory = 20;

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

key_registry::key_registry(instance_id self, duration memory)
    : m_self(std::move(self))
    , m_memory(memory)
{
}

key_home key_registry::issue(instant now) const { return { m_self, milliseconds(now) }; }

// A key is forgotten `memory` after its last change, which is never before its home was issued. So a home younger than
// `memory` proves that a key not found here was never here; with an older one, "not found" proves nothing.
bool key_registry::isStale(const key_home& home, instant now) const
{
    const auto age = std::chrono::milliseconds(milliseconds(now) - home.issuedAt);
    return age >= m_memory || age < std::chrono::milliseconds(0);
}

key_answer key_registry::describe(const entry& known) const
{
    switch (known.state) {
    case key_state::running:
        return { key_decision::join, {}, {} };
    case key_state::answered:
        return { key_decision::replay, known.kept, {} };
    case key_state::sealed:
        return { key_decision::moved, {}, known.sealedFor };
    case key_state::unknown:
        break;
    }
    return { key_decision::unknown, {}, {} };
}

key_answer key_registry::begin(const std::string& key, instant now)
{
    m_entries[key] = { key_state::running, now, {}, {} };
    return { key_decision::run, {}, {} };
}

key_answer key_registry::requested(const std::string& key, const key_home& home, instant now)
{
    TAMARACK_ASSERT(home.instance == m_self, "only the home decides about a key");
    if (const auto found = m_entries.find(key); found != m_entries.end())
        return describe(found->second);
    if (isStale(home, now))
        return { key_decision::unknown, {}, {} };
    return begin(key, now);
}

key_answer key_registry::askedBy(const instance_id& asker, const std::string& key, const key_home& home, instant now)
{
    TAMARACK_ASSERT(home.instance == m_self, "only the home decides about a key");
    if (const auto found = m_entries.find(key); found != m_entries.end()) {
        // The asker may not have had the first answer; the right is given to the same instance as often as it asks.
        if (found->second.state == key_state::sealed && found->second.sealedFor == asker)
            return { key_decision::run, {}, {} };
        return describe(found->second);
    }
    if (isStale(home, now))
        return { key_decision::unknown, {}, {} };
    m_entries[key] = { key_state::sealed, now, {}, asker };
    return { key_decision::run, {}, {} };
}

key_answer key_registry::adopted(const std::string& key, instant now)
{
    if (const auto found = m_entries.find(key); found != m_entries.end())
        return describe(found->second);
    return begin(key, now);
}

void key_registry::answered(const std::string& key, std::string kept, instant now)
{
    m_entries[key] = { key_state::answered, now, std::move(kept), {} };
}

void key_registry::notRun(const std::string& key) { m_entries.erase(key); }

void key_registry::outcomeUnknown(const std::string& key, instant now)
{
    m_entries[key] = { key_state::unknown, now, {}, {} };
}

void key_registry::tick(instant now)
{
    if (now < m_lastSweep + m_memory / sweepsPerMemory)
        return;
    m_lastSweep = now;
    std::erase_if(m_entries, [&](const auto& item) {
        return item.second.state != key_state::running && now >= item.second.changedAt + m_memory;
    });
}

}
