// Issues the permits by which nodes share the rate of a target that names a limit.
#pragma once

#include "serving/relay_plan.h"
#include "serving/target_limits.h"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace tamarack::serving {

/// Why a node wants permits, most important first.
enum class permit_use : unsigned char {
    required, ///< a call that has to be made, such as the release of a KV cache
    waiting, ///< requests wait for a permit
    expected, ///< requests come that the target could serve
    count
};

/// Asks the issuer of a target for permits.
struct permit_ask {
    std::uint32_t target = 0; ///< shortHash() of the target's instance
    permit_use use = permit_use::expected;
    duration lifetime = duration::zero(); ///< for how long the sender has use for a permit
};

/// Each permit allows one request of any sort to the target. One that is not used is lost. If it were issued again
/// beside new ones, unused permits would grow in number and exceed the rate when they are used.
struct permit_grant {
    std::uint32_t target = 0; ///< shortHash() of the target's instance
    std::uint8_t count = 0;
    duration lifetime = duration::zero(); ///< the permits lapse this long after they arrive
};

struct permit_message {
    node_endpoint to;
    permit_grant grant;
};

/// Every limited target has one issuer, which all nodes choose alike by rendezvous hashing among those that are alive.
/// Permits come from a token bucket with the rate of the limit, so a node can't use more than was issued however the
/// demand is distributed, and whichever of the nodes are told of the limit.
///
/// A node that becomes an issuer, also after it was suspended, waits for `takeoverTime`: the former issuer may issue
/// permits until it hears of the change. A node that sees only a minority of the known nodes issues their part of the
/// rate, since the others may have an issuer of their own.
class permit_issuer {
public:
    permit_issuer(const target_limits& limits, const fleet_table& fleet);

    /// Replaces the nodes among which issuers are chosen. `known` is the number of known nodes, reachable or not,
    /// including this one, or 0 if it is unknown; then this node issues nothing. `takeoverTime` is the time in which a
    /// former issuer hears of a change.
    void setNodes(const node_state& self, const std::vector<node_state>& alive, int known, duration takeoverTime);
    /// The node that issues the permits of a limited target, which may be this one; null if none is known.
    const node_endpoint* issuerOf(target_id id) const;
    bool isIssuer(target_id id) const;
    /// Whether this node asks for permits of the target before it needs them. In a large fleet only some nodes do.
    bool mayExpect(target_id id) const;
    /// The number of nodes among which issuers are chosen.
    std::size_t nodes() const { return m_candidates.size(); }

    void asked(const node_endpoint& from, const permit_ask& ask, instant now);
    /// Returns the permits to issue now. Called every few milliseconds.
    std::vector<permit_message> tick(instant now);
    void forget(target_id id);

private:
    struct candidate {
        std::uint64_t seed = 0; // rendezvous seed of the VM
        node_endpoint endpoint;
    };
    struct asker {
        node_endpoint node;
        permit_use use = permit_use::expected; // the most important one that has not expired
        std::array<instant, static_cast<std::size_t>(permit_use::count)> until; // by use, when the ask expires

        /// Sets the use. Returns whether any ask is left.
        bool refresh(instant now);
    };
    struct bucket {
        std::optional<node_endpoint> issuer;
        bool isOwn = false; // this node is the issuer
        bool mayExpect = false;
        instant issuesFrom;
        double tokens = 0;
        instant filledAt;
        std::deque<asker> askers; // in the order in which they are served
    };

    /// Ranks the nodes for the target and sets its issuer.
    void choose(target_id id, bucket& item);
    void chooseAgain(instant now);
    /// Issues the tokens of a bucket to those that have asked.
    void issue(std::uint32_t row, bucket& item, request_rate rate, instant now, std::vector<permit_message>& out) const;

    const target_limits& m_limits;
    const fleet_table& m_fleet;
    std::vector<candidate> m_candidates;
    candidate m_self;
    std::uint64_t m_nodesHash = 0;
    std::uint64_t m_chosenNodesHash = 0; // for which the issuers were chosen
    std::vector<std::uint32_t> m_chosenRows; // likewise
    double m_share = 1; // of each rate
    duration m_takeoverTime = duration::zero();
    std::map<std::uint32_t, bucket> m_buckets; // by row of the fleet
    instant m_tickedAt;
};

}
