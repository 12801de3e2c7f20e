// At-most-once for non-idempotent requests, without a store: the node a caller first asked is the key's home, and only
// the home may start it or give that right away.
#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// What a caller sends with the key: the instance it first turned to, and when that instance named itself.
struct key_home {
    instance_id instance;
    std::int64_t issuedAt = 0; ///< milliseconds on the home's own boot clock

    bool operator==(const key_home&) const = default;
};

/// `vm@incarnation/milliseconds`.
std::string toString(const key_home& home);
std::optional<key_home> parseKeyHome(const std::string& text);

enum class key_state : unsigned char {
    running,
    answered, ///< the answer is kept
    sealed, ///< another instance was told it may run the request
    unknown ///< may or may not have run; nothing more can be found out here
};

/// What to do with a request that carries a key.
enum class key_decision : unsigned char {
    run, ///< never seen: this instance runs it, and nobody else will
    join, ///< it is running here: wait for its answer
    replay, ///< it has run: give the kept answer
    moved, ///< another instance has the right to run it
    unknown ///< nobody can tell any more whether it ran
};

struct key_answer {
    key_decision decision = key_decision::unknown;
    std::string kept; ///< the answer to replay
    instance_id movedTo;
};

/// The keys of one instance. Not written anywhere: with the process goes the knowledge, and what it knew is *unknown*.
class key_registry {
public:
    /// Outcomes are kept for `memory` at least. Homes issued longer ago than that are no longer believed new.
    key_registry(instance_id self, duration memory);

    /// The home to name to callers now.
    key_home issue(instant now) const;
    /// A caller's request with its key. Only for homes of this instance.
    key_answer requested(const std::string& key, const key_home& home, instant now);
    /// Another instance asks whether it may run the request. Only for homes of this instance.
    key_answer askedBy(const instance_id& asker, const std::string& key, const key_home& home, instant now);
    /// This instance was given the right by the key's home: from now on it is as if it were the home.
    key_answer adopted(const std::string& key, instant now);

    /// The request has an answer to be kept.
    void answered(const std::string& key, std::string kept, instant now);
    /// It was refused before any byte left: the key may be used anew.
    void notRun(const std::string& key);
    /// It may have run.
    void outcomeUnknown(const std::string& key, instant now);

    /// Forgets what is past its memory.
    void tick(instant now);
    std::size_t size() const { return m_entries.size(); }
    const instance_id& self() const { return m_self; }

private:
    struct entry {
        key_state state = key_state::running;
        instant changedAt;
        std::string kept; // state answered
        instance_id sealedFor; // state sealed
    };

    key_answer begin(const std::string& key, instant now);
    key_answer describe(const entry& known) const;
    bool isStale(const key_home& home, instant now) const;

    instance_id m_self;
    duration m_memory;
    std::unordered_map<std::string, entry> m_entries;
    instant m_lastSweep;
};

}
