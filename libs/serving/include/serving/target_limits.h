// Keeps the limits that targets name: how many requests per second a target takes from all nodes together.
#pragma once

#include "base/request_rate.h"
#include "serving/fleet_table.h"

#include <optional>
#include <vector>

namespace tamarack::serving {

/// What an answer of a target says of its limit. Nodes tell each other. Ages instead of instants, since the clocks of
/// nodes differ.
struct limit_report {
    std::uint32_t target = 0; ///< shortHash() of the target's instance
    std::optional<request_rate> rate; ///< empty: the answer names no limit
    duration askedAge = duration::zero(); ///< since the request was sent that was answered
    duration answeredAge = duration::zero(); ///< since the answer arrived
};

/// A limit that has begun, has changed or has ended.
struct limit_change {
    target_id target;
    std::optional<request_rate> rate; ///< empty: it has ended
    duration length = duration::zero(); ///< since it began; zero if it begins
};

/// A limit belongs to one instance and binds all nodes in sum. Answers arrive in another order than they were given, so
/// an answer counts as newer than another only if its request was sent after the other had arrived. Of two limits whose
/// order is unknown the lower one holds. An answer that names none ends the limit unless another one names it within
/// `confirmationTime`, as a target may name it in some answers only. For `easingTime` after the end, the rate grows
/// from the limit, so that the target does not get at once all requests that went elsewhere.
class target_limits {
public:
    /// A target whose limit allows less gets requests at this rate, or nobody would learn of its end.
    static constexpr double minPerSecond = 0.25;
    static constexpr duration confirmationTime = std::chrono::seconds(1);
    static constexpr duration easingTime = std::chrono::seconds(3);

    explicit target_limits(fleet_table& fleet);

    /// An answer of the target to a request that was sent at `askedAt` has arrived. `rate` is empty if it names no
    /// limit.
    void answered(target_id id, std::optional<request_rate> rate, instant askedAt, instant now);
    /// A peer has received such an answer.
    void apply(const limit_report& report, instant now);
    /// Ends limits that are no longer named.
    void tick(instant now);
    /// The rate at which the target takes requests now; empty: any.
    std::optional<request_rate> rate(target_id id, instant now) const;
    /// Since when the target has a limit.
    instant since(target_id id) const { return m_rows[id.value].since; }
    /// Rows with a limit, in ascending order.
    const std::vector<std::uint32_t>& limited() const { return m_limited; }
    /// Clears the row, because it now belongs to another target.
    void forget(target_id id);

    /// What the peers have to hear at once.
    std::vector<limit_report> takeNews(instant now);
    /// One of the limits, in rotation, for peers that have missed the news.
    std::optional<limit_report> nextReport(instant now);
    /// What this node knows of a limit that has ended, for a peer that takes it to hold. Empty if there was none.
    std::optional<limit_report> endOf(std::uint32_t target, instant now) const;
    /// All limits, for a peer that starts.
    std::vector<limit_report> reports(instant now) const;
    /// Changes since the last call, for the log.
    std::vector<limit_change> takeChanges();

private:
    /// What one answer says, in instants of this node's clock.
    struct evidence {
        instant askedAt;
        instant answeredAt;

        bool isNewerThan(const evidence& other) const { return askedAt >= other.answeredAt; }
    };
    struct row_state {
        bool isLimited = false; // also while the rate grows after the end
        request_rate rate;
        evidence named; // the newest answer that names the limit
        bool isNamedToThisNode = false; // by an answer that this node has received
        std::optional<evidence> silent; // the first newer answer that names none
        evidence lastSilent; // the newest one
        instant endedAt; // the rate grows from then on; the default: the limit holds
        instant since;
        bool isNews = false; // the newest answer has to be told to the peers
    };

    row_state& at(target_id id);
    void apply(target_id id, std::optional<request_rate> rate, const evidence& seen, bool isOwn, instant now);
    void named(target_id id, request_rate rate, const evidence& seen, bool isOwn, instant now);
    void silent(target_id id, const evidence& seen, bool isOwn);
    void setLimited(target_id id, bool isLimited);
    limit_report reportOf(std::uint32_t row, instant now) const;

    fleet_table& m_fleet;
    std::vector<row_state> m_rows; // by row of the fleet
    std::vector<std::uint32_t> m_limited;
    std::vector<std::uint32_t> m_news;
    std::vector<limit_change> m_changes;
    std::size_t m_nextReport = 0;
};

}
