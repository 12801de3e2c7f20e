// Replicated state machine over the log: every node applies the same records in the same order by the same rules, so
// all nodes reach the same state without further communication.
#pragma once

#include "decide/records.h"

#include <string_view>

namespace tamarack {

/// Result of applying one log record.
enum class verdict : unsigned char {
    valid,
    stale_base, ///< publication whose base version is no longer in force
    stale_previous, ///< claim or order whose compare-and-set failed
    stale_term, ///< written under a lease term that has ended
    order_open, ///< the target already has an open order
    not_open, ///< closes an order that is not open
    not_entitled, ///< only the order's deliverer may write this record
    no_effect ///< snapshot, or record already applied
};

std::string_view toString(verdict v);

/// State established by the log. A verdict depends only on the records, never on a clock, the node or the content of
/// the configuration text. Two software versions that read the same log during a rolling upgrade must reach the same
/// verdicts, so changing a rule requires a new record kind.
class replicated_state {
public:
    /// Applies a record. The caller must pass records in offset order. A record whose offset is below next() has no
    /// effect.
    verdict apply(const log_record& record);
    /// Skips a record that does not decode; such a record has no effect on any node.
    void skip(log_offset offset);
    /// Replaces the state by that of a snapshot.
    void restore(replicated_data data);

    /// Offset of the first record not applied yet.
    log_offset next() const { return m_data.asOf; }
    const replicated_data& data() const { return m_data; }
    const configuration_state& configuration() const { return m_data.configuration; }
    /// Returns an empty state if the lease was never claimed.
    const lease_state& lease(const std::string& name) const;
    /// Returns an empty state if the target never had an order.
    const target_orders& orders(const std::string& target) const;

private:
    verdict on(const log_record& record, const publication_record& body);
    verdict on(const log_record& record, const claim_record& body);
    verdict on(const log_record& record, const renewal_record& body);
    verdict on(const log_record& record, const release_record& body);
    verdict on(const log_record& record, const order_record& body);
    verdict on(const log_record& record, const order_end_record& body);
    verdict on(const log_record& record, const snapshot_record& body);

    /// Whether `writer` holds the lease under `term`.
    bool holdsTerm(const std::string& lease, log_offset term, const instance_id& writer) const;

    replicated_data m_data;
};

}
