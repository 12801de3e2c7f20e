// Finds what crashes the targets that run it: a request that is sent again and again, or a part of the prompt that many
// requests share. Nodes exchange what they have observed, so that what ended targets at several nodes is recognized by
// all of them.
#pragma once

#include "base/clock.h"
#include "quarantine/request_trait.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tamarack {

/// What an attempt had shown when its target ended.
struct attempt_evidence {
    std::uint64_t account = 0; ///< hash of the client account whose request it was
    bool hasBegun = false; ///< a part of its answer had come
};

/// A request that is sent although it is quarantined, to show whether it still crashes its target. The nodes agree on
/// one for each round: the one whose claim has the lowest node.
struct quarantine_trial {
    std::uint8_t round = 0; ///< of the last claim; 0: none yet
    std::uint32_t node = 0; ///< hash of the VM that claimed it
    std::uint8_t sent = 0; ///< trials that were sent
};

/// What the nodes know of one trait. Records of the same trait are merged: the one with more clearances replaces the
/// other; with equal clearances, the targets are united, and of the trials the later round, then the lower node, is
/// kept. Merging is commutative and idempotent, so records may be lost, reordered and repeated.
struct quarantine_record {
    request_trait trait;
    std::uint64_t account = 0; ///< hash of the client account under whose request the first target ended
    /// How often the trait was found harmless. Targets that ended before the last clearance do not count.
    std::uint16_t clearances = 0;
    std::vector<std::uint32_t> targets; ///< hashes of the instances that ended while they ran such a request
    bool hasBegun = false; ///< an answer had begun before, which speaks for the trait
    quarantine_trial trial;
    duration age = duration::zero(); ///< since the last of them ended, or since the clearance
    duration firstAge = duration::zero(); ///< since the first of them ended
    bool isStored = false; ///< the store holds the quarantine
};

/// A trait was quarantined or released, for the log.
struct quarantine_change {
    quarantine_record record;
    bool isQuarantined = false;
};

struct quarantine_counts {
    std::size_t quarantined = 0;
    std::size_t suspected = 0; ///< and not quarantined
};

struct quarantine_limits {
    /// A target that ends takes all its requests with it, so a harmless one may lose two targets in a row.
    std::size_t targetsUntilQuarantine = 3;
    /// The same for a trait with which an answer had begun before the targets ended.
    std::size_t targetsOnceBegun = 6;
    /// Targets that end within less time, such as those of an availability zone, do not quarantine a part on which an
    /// answer had begun.
    duration minSpreadOnceBegun = std::chrono::milliseconds(150);
    /// Further targets of a trait are not recorded.
    std::size_t maxTargets = 12;
    /// A part that has enough targets is quarantined this much later, so that nodes which know that it is harmless can
    /// say so.
    duration settleTime = std::chrono::milliseconds(60);
    duration suspicionLifetime = std::chrono::minutes(10);
    duration quarantineLifetime = std::chrono::hours(24);
    duration clearanceLifetime = std::chrono::hours(1);
    /// A request that was answered this recently is harmless.
    duration answerMemory = std::chrono::minutes(1);
    /// A part of a prompt on which an answer began this recently is harmless. It may be in the requests of all targets,
    /// which end together when an availability zone does.
    duration partMemory = std::chrono::milliseconds(500);
    /// A part on which an answer began this recently counts as begun.
    duration begunMemory = std::chrono::minutes(10);
    /// Trials of a quarantined part. Further ones would reach more targets than the platform allows.
    std::uint8_t maxTrials = 2;
    /// The same for a part on which an answer had begun.
    std::uint8_t maxTrialsOnceBegun = 3;
    /// Pause between the last ended target, or the last claim, and the first trial. The next one waits
    /// `trialPauseFactor` times longer.
    duration trialPause = std::chrono::seconds(1);
    int trialPauseFactor = 4;
    /// Time between trials of different parts, so that they do not meet at one target.
    duration trialSpacing = std::chrono::milliseconds(300);
    std::size_t maxRecords = 4096;
    /// Records of one client account and kind, which therefore cannot displace those of others.
    std::size_t maxRecordsPerAccount = 256;
};

/// Table of suspected and quarantined traits at one node.
class request_quarantine {
public:
    /// `node` is the hash of this node's VM.
    explicit request_quarantine(quarantine_limits limits = {}, std::uint32_t node = 0);

    /// Sets the number of nodes. Of many nodes that know something in favour of a trait, only some say so at once.
    void setKnownNodes(int nodes) { m_knownNodes = nodes; }
    /// The target closed the connection while it ran a request with the trait. `target` is the hash of its instance.
    void targetEnded(
        const request_trait& trait, std::uint32_t target, instant now, const attempt_evidence& evidence = {});
    /// A part of an answer to a request with the trait has come.
    void begun(const request_trait& trait, instant now);
    /// A target has answered a request with the trait completely. A quarantine or suspicion is therefore wrong and is
    /// lifted.
    void answered(const request_trait& trait, instant now) { answered(trait, now, now); }
    /// A target has outlasted the begin of an answer, which was at `begunAt`. Targets that ended since then still
    /// count.
    void answered(const request_trait& trait, instant begunAt, instant now);
    /// Lifts the quarantine on behalf of an operator. Returns false if the trait is not quarantined.
    bool release(const request_trait& trait, instant now);
    /// Merges a record of a peer or of the store.
    void apply(const quarantine_record& record, instant now);
    /// The store holds the quarantine.
    void setStored(const request_trait& trait);
    /// Ends expired quarantines and removes other expired records.
    void tick(instant now);

    bool isQuarantined(const request_trait& trait) const;
    /// Time until a request with all of these quarantined traits may be sent as a trial; nothing: never. A request with
    /// several has to wait longer, since those with one tell more.
    std::optional<duration> untilTrial(const std::vector<request_trait>& traits, instant now) const;
    /// Claims the next trial for this node.
    void claimTrial(const request_trait& trait, instant now);
    /// Whether the current trial is this node's.
    bool ownsTrial(const request_trait& trait) const;
    void trialSent(const request_trait& trait);
    /// Counts a request that is not sent because of the trait.
    void heldBack(const request_trait& trait);
    /// How many requests this node has held back because of the trait.
    std::uint64_t countHeldBack(const request_trait& trait) const;

    bool isEmpty() const { return m_entries.empty(); }
    std::size_t countQuarantined() const;
    quarantine_counts countOf(trait_kind kind) const;
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
    std::vector<request_trait> takeEnded();
    std::vector<quarantine_change> takeChanges();

private:
    struct entry {
        std::uint64_t account = 0;
        std::uint16_t clearances = 0;
        std::vector<std::uint32_t> targets;
        instant changedAt;
        instant firstEndAt; // of a target
        bool hasBegun = false;
        bool isStored = false;
        bool isQuarantined = false;
        instant enoughSince; // enough targets have ended since then; not set: not enough
        quarantine_trial trial;
        instant claimedAt; // as far as this node knows
        std::uint64_t heldBack = 0; // by this node
    };
    struct recent_answer {
        request_trait trait;
        instant begunAt;
        instant provenAt; // begin of the last answer that its target has outlasted or completed
    };
    using table = std::map<request_trait, entry>;

    std::size_t targetsNeeded(const entry& item) const;
    std::uint8_t trialsAllowed(const entry& item) const;
    /// Whether enough targets have ended under the trait.
    bool hasEnough(const table::value_type& item) const;
    /// How many targets ended under a part on which an answer had begun, without those where there was one on which
    /// none has and that has as many.
    std::size_t countUnexplained(const entry& item) const;
    /// Begins or ends the quarantine of the trait, as the targets that ended under it require.
    void settle(table::value_type& item, instant now);
    const entry* findQuarantined(const request_trait& trait) const;
    /// When the next trial of the trait is due; nothing: never.
    std::optional<instant> trialDueAt(const request_trait& trait) const;
    duration lifetimeOf(const entry& item) const;
    bool isExpired(const entry& item, instant now) const;
    /// Whether the record is worth repeating: peers that have removed an expired record must not get it again.
    bool isRepeatable(const entry& item, bool withSuspicions, instant now) const;
    /// Returns what this node remembers of answers to requests with the trait.
    recent_answer answerTo(const request_trait& trait) const;
    recent_answer& answerSlot(const request_trait& trait);
    /// Whether an answer has shown so recently that the trait is harmless that targets which end do not count.
    bool isProvenHarmless(const request_trait& trait, instant now) const;
    bool hasBegunBefore(const request_trait& trait, instant now) const;
    void clear(table::iterator found, instant now);
    /// Adds a target to the entry. Returns false if it is known or none is needed any more.
    bool addTarget(entry& item, std::uint32_t target) const;
    void applyTrial(entry& item, const quarantine_trial& trial, instant now);
    /// Uses what this node remembers in favour of a trait that is nearly or already quarantined.
    void speakFor(table::iterator found, instant now);
    bool isSpokesman(const request_trait& trait) const;
    void addNews(const request_trait& trait);
    quarantine_record recordOf(const table::value_type& item, instant now) const;
    /// Makes room for a record of the account, if necessary at the expense of the account with the most records.
    void makeRoom(trait_kind kind, std::uint64_t account);
    /// Removes the least useful of the records for which `isCandidate` holds.
    template <class Predicate> void removeLeastUseful(Predicate isCandidate);
    static std::size_t slotOf(const request_trait& trait);

    quarantine_limits m_limits;
    std::uint32_t m_node;
    int m_knownNodes = 1;
    table m_entries;
    std::vector<recent_answer> m_answers; // direct-mapped: a newer answer replaces another one in its slot
    std::vector<request_trait> m_news;
    std::vector<request_trait> m_ended;
    std::vector<quarantine_change> m_changes;
    request_trait m_lastRepeated;
    instant m_lastClaimAt; // of a trial of any part, by any node
    std::uint64_t m_begun = 0;
};

}
