// Idempotency keys, which give non-idempotent requests at-most-once execution without a shared store. The node that a
// caller first contacted is the key's home; only the home may run the request or delegate that right to another node.
#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tamarack {

/// Sent by the caller together with the key: the instance that the caller first contacted, and when that instance
/// issued this token.
struct key_home {
    instance_id instance;
    std::int64_t issuedAt = 0; ///< milliseconds on the boot clock of the home instance

    bool operator==(const key_home&) const = default;
};

/// Formats as `vm@incarnation/milliseconds`.
std::string toString(const key_home& home);
/// Inverse of toString(); returns nothing for malformed text.
std::optional<key_home> parseKeyHome(const std::string& text);

/// State of a key at one instance.
enum class key_state : unsigned char {
    running,
    answered, ///< completed; the answer is stored
    delegated, ///< another instance was given the right to run the request
    unknown ///< may or may not have run; this instance cannot determine which
};

/// What to do with a request that carries a key.
enum class key_decision : unsigned char {
    run, ///< not seen before: this instance runs it, and no other will
    join, ///< running at this instance: wait for its answer
    replay, ///< completed: return the stored answer
    moved, ///< another instance has the right to run it
    unknown ///< it can no longer be determined whether it ran
};

/// Result of a key look-up.
struct key_answer {
    key_decision decision = key_decision::unknown;
    std::string storedAnswer; ///< for decision replay
    instance_id movedTo; ///< for decision moved
};

/// The keys known to one instance, in memory only. After the process ends, the outcome of its keys is *unknown*. So are
/// the oldest outcomes while the keys and answers of callers take more than `maxBytes`.
class key_registry {
public:
    static constexpr std::size_t defaultMaxBytes = 32 * 1024 * 1024;

    /// Outcomes are retained for at least `retention`. A key whose home was issued earlier than that is never treated
    /// as new.
    key_registry(instance_id self, duration retention, std::size_t maxBytes = defaultMaxBytes);

    /// Returns the home token to send to a caller now.
    key_home issue(instant now) const;
    /// A caller sent a request with this key. `home` must name this instance.
    key_answer onRequest(const std::string& key, const key_home& home, instant now);
    /// Another instance asks for the right to run the request. `home` must name this instance.
    key_answer onDelegationRequest(const instance_id& asker, const std::string& key, const key_home& home, instant now);
    /// The key's home delegated the request to this instance, which from now on acts as the home.
    key_answer onDelegated(const std::string& key, instant now);

    /// The request completed; stores its answer for replay.
    void onAnswer(const std::string& key, std::string storedAnswer, instant now);
    /// The request was refused before any byte was sent: the key may be used again.
    void onNotExecuted(const std::string& key);
    /// The request may or may not have run.
    void onOutcomeUnknown(const std::string& key, instant now);

    /// Removes entries whose retention has ended.
    void tick(instant now);
    std::size_t size() const { return m_entries.size(); }
    std::size_t bytes() const { return m_bytes; }
    const instance_id& self() const { return m_self; }

private:
    struct entry {
        key_state state = key_state::running;
        instant changedAt;
        std::string storedAnswer; // for state answered
        instance_id delegatedTo; // for state delegated
    };

    static std::size_t bytesOf(const std::string& key, const entry& known);
    void store(const std::string& key, entry known);
    void erase(const std::string& key);
    /// Forgets the oldest outcomes until the rest is within the bound.
    void forgetOldest();
    key_answer begin(const std::string& key, instant now);
    /// The result for a key that has an entry.
    key_answer describe(const entry& known) const;
    /// Whether the home token is so old that a missing entry does not prove that the key is new.
    bool isStale(const key_home& home, instant now) const;

    instance_id m_self;
    duration m_retention;
    std::size_t m_maxBytes;
    std::unordered_map<std::string, entry> m_entries;
    std::size_t m_bytes = 0; // over m_entries
    std::deque<std::pair<instant, std::string>> m_byAge; // outcomes by their changes; some have changed again since
    std::int64_t m_forgottenUntil = -1; // in milliseconds; keys of homes issued by then may have been forgotten
    instant m_lastSweep;
};

}
