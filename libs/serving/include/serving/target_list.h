// Maintains the list of targets from store records. Decides which changes to apply and when.
#pragma once

#include "serving/target_record.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack::serving {

/// An incarnation of a target that has ended.
struct ended_target {
    std::string name;
    std::string instance;

    bool operator==(const ended_target&) const = default;
};

/// Changes for the fleet, to be applied in this order.
struct target_changes {
    std::vector<ended_target> replaced; ///< earlier incarnations of targets that are listed again
    std::vector<target_record> listed; ///< new or changed
    std::vector<ended_target> gone;
};

/// Records of one incarnation of a target are ordered by their sequence, so that a delayed record does not bring back a
/// target that is draining or gone. A record with a different start time belongs to another incarnation, whose sequence
/// starts anew.
class target_list {
public:
    /// `lapseGrace` is the time after the return of the store within which entries that expired during its outage
    /// reappear.
    explicit target_list(duration lapseGrace);

    /// The store is reachable again after an outage.
    void storeReturned(instant now);
    target_changes listed(const target_record& record, instant now);
    target_changes dropped(const std::string& name, instant now);
    /// A peer that reads the list at short intervals has found that the target is gone.
    target_changes confirmedGone(const std::string& name, instant now);
    /// Sets whether removals always wait for a confirmation or the grace period. A node that reads the list at long
    /// intervals does not notice outages of the store.
    void setReadsInfrequently(bool readsInfrequently) { m_readsInfrequently = readsInfrequently; }
    /// Applies a complete list. Targets that are missing from it are gone.
    target_changes snapshot(const std::vector<target_record>& all, instant now);
    /// Applies removals whose grace period has ended.
    target_changes tick(instant now);
    /// Whether the target is known, including one that is gone.
    bool isKnown(const std::string& name) const { return m_entries.contains(name); }
    /// The instance listed under the name, including one whose entry is missing but may return. Empty if there is none.
    std::string listedInstance(const std::string& name) const;
    /// Whether the target's entry is missing but may return.
    bool isLapsed(const std::string& name) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        target_record record;
        bool isGone = false;
        bool isLapsed = false; ///< missing, but may return
        instant lapsedAt;
        instant goneAt;
        std::vector<std::uint64_t> previousBirths; ///< start times of the last few replaced incarnations
    };

    bool mayComeBack(instant now) const;
    void drop(entry& known, instant now, target_changes& out);
    static void end(entry& known, instant now, target_changes& out);
    /// Whether the record belongs to another incarnation than the known one, and not to an earlier one.
    static bool isNewInstance(const entry& known, const target_record& record);
    static void beginInstance(entry& known, const target_record& record, target_changes& out);
    void take(const target_record& record, instant now, target_changes& out);

    duration m_lapseGrace;
    instant m_returnedAt;
    bool m_hasReturned = false;
    bool m_readsInfrequently = false;
    std::map<std::string, entry> m_entries; // by name; includes targets that are gone, for their sequence
};

}
