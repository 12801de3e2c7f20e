// Finds requests that crash the targets that run them. Nodes exchange what they have observed, so that a request whose
// targets ended at several nodes is recognized by all of them.
#pragma once

#include "base/clock.h"
#include "quarantine/request_digest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tamarack {

/// What the nodes know of one request. Records of the same request are merged: the one with more clearances replaces
/// the other; with equal clearances, the targets are united. Merging is commutative and idempotent, so records may be
/// lost, reordered and repeated.
struct quarantine_record {
    request_digest digest;
    /// How often the request was found harmless. Targets that ended before the last clearance do not count.
    std::uint16_t clearances = 0;
    std::vector<std::uint32_t> targets; ///< hashes of the instances that ended while they ran the request
    duration age = duration::zero(); ///< since the last of them ended, or since the clearance
    bool isStored = false; ///< the store holds the quarantine
};

/// A request was quarantined or released, for the log.
struct quarantine_change {
    quarantine_record record;
    bool isQuarantined = false;
};

struct quarantine_limits {
    /// A target that ends takes all its requests with it, so a harmless one may lose two targets in a row.
    std::size_t targetsUntilQuarantine = 3;
    duration suspicionLifetime = std::chrono::minutes(10);
    duration quarantineLifetime = std::chrono::hours(24);
    duration clearanceLifetime = std::chrono::hours(1);
    /// A request that was answered this recently is harmless.
    duration answerMemory = std::chrono::minutes(1);
    std::size_t maxRecords = 2048;
    /// Records of one client account, which therefore cannot displace those of others.
    std::size_t maxRecordsPerAccount = 256;
};

/// Table of suspected and quarantined requests at one node.
class request_quarantine {
public:
    explicit request_quarantine(quarantine_limits limits = {});

    /// The target closed the connection while it ran the request. `target` is the hash of its instance.
    void targetEnded(const request_digest& digest, std::uint32_t target, instant now);
    /// A target has answered the request completely. A quarantine or suspicion of it is therefore wrong and is lifted.
    void answered(const request_digest& digest, instant now);
    /// Lifts the quarantine on behalf of an operator. Returns false if the request is not quarantined.
    bool release(const request_digest& digest, instant now);
    /// Merges a record of a peer or of the store.
    void apply(const quarantine_record& record, instant now);
    /// The store holds the quarantine.
    void setStored(const request_digest& digest);
    /// Ends expired quarantines and removes other expired records.
    void tick(instant now);

    bool isQuarantined(const request_digest& digest) const;
    std::size_t countQuarantined() const;
    /// How many quarantines have begun here so far.
    std::uint64_t begun() const { return m_begun; }
    std::size_t countRecords() const { return m_entries.size(); }

    /// Records that this node has changed since the last call, to be sent to the peers at once.
    std::vector<quarantine_record> takeNews(instant now);
    /// The next record in rotation, to be repeated to the peers. Suspicions are left out where each change reaches all
    /// peers by takeNews().
    std::optional<quarantine_record> nextRecord(instant now, bool withSuspicions = false);
    /// All records that peers may use.
    std::vector<quarantine_record> records(instant now) const;
    /// A quarantine that the store does not hold yet.
    std::optional<quarantine_record> nextToStore(instant now) const;
    /// Quarantines that have ended since the last call, to be removed from the store.
    std::vector<request_digest> takeEnded();
    std::vector<quarantine_change> takeChanges();

private:
    struct entry {
        std::uint16_t clearances = 0;
        std::vector<std::uint32_t> targets;
        instant changedAt;
        bool isStored = false;
    };
    struct recent_answer {
        request_digest digest;
        instant at;
    };
    using table = std::map<request_digest, entry>;

    bool isQuarantined(const entry& item) const { return item.targets.size() >= m_limits.targetsUntilQuarantine; }
    duration lifetimeOf(const entry& item) const;
    bool isExpired(const entry& item, instant now) const;
    /// Whether the record is worth repeating: peers that have removed an expired record must not get it again.
    bool isRepeatable(const entry& item, bool withSuspicions, instant now) const;
    bool wasAnswered(const request_digest& digest, instant now) const;
    void clear(table::iterator found, instant now);
    /// Adds a target to the entry. Returns false if it is known or none is needed any more.
    bool addTarget(entry& item, std::uint32_t target) const;
    void addNews(const request_digest& digest);
    void recordChange(const table::value_type& item, bool wasQuarantined, instant now);
    quarantine_record recordOf(const table::value_type& item, instant now) const;
    /// Makes room for a record of the account, if necessary at the expense of the account with the most records.
    void makeRoom(std::uint64_t account);
    void removeOldest(std::uint64_t account);
    static std::size_t answerSlot(const request_digest& digest);

    quarantine_limits m_limits;
    table m_entries; // ordered, so that the records of an account are adjacent
    std::vector<recent_answer> m_answers; // direct-mapped: a newer answer replaces another one in its slot
    std::vector<request_digest> m_news;
    std::vector<request_digest> m_ended;
    std::vector<quarantine_change> m_changes;
    request_digest m_lastRepeated;
    std::uint64_t m_begun = 0;
};

}
