// The fold over the log: every node applies the same rules to the same records and so agrees without talking.
#pragma once

#include "decide/records.h"

#include <string_view>

namespace tamarack {

enum class verdict : unsigned char {
    valid,
    stale_base, ///< a publication that lost a race
    stale_previous, ///< a claim or order whose compare-and-set failed
    stale_term, ///< written under a term that no longer holds
    order_open, ///< the target already has an open order
    not_open, ///< closes an order that is not open
    not_entitled, ///< only the order's deliverer may say this
    no_effect ///< a snapshot, or a record already applied
};

std::string_view toString(verdict v);

/// Verdicts depend on the records alone: no clock, no node, no parsing of the operators' text. Two software versions
/// that read one log during a rolling upgrade must agree, so these rules never change without a new record kind.
class agreed_state {
public:
    /// Applies the record at the next offset. Records below next() have no effect.
    verdict apply(const log_record& record);
    /// Passes over a record that does not decode: it has no effect on any node.
    void skip(log_offset offset);
    /// Starts over from a restatement.
    void restore(agreed_data data);

    /// The offset of the first record not applied yet.
    log_offset next() const { return m_data.asOf; }
    const agreed_data& data() const { return m_data; }
    const configuration_state& configuration() const { return m_data.configuration; }
    /// An empty state if the lease was never claimed.
    const lease_state& lease(const std::string& name) const;
    /// An empty state if the target never had an order.
    const target_orders& orders(const std::string& target) const;

private:
    verdict on(const log_record& record, const publication_record& body);
    verdict on(const log_record& record, const claim_record& body);
    verdict on(const log_record& record, const renewal_record& body);
    verdict on(const log_record& record, const release_record& body);
    verdict on(const log_record& record, const order_record& body);
    verdict on(const log_record& record, const order_end_record& body);
    verdict on(const log_record& record, const snapshot_record& body);

    bool holdsTerm(const std::string& lease, log_offset term, const instance_id& writer) const;

    agreed_data m_data;
};

}
