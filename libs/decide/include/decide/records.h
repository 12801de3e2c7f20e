// Records that the system stores in the platform's log, as plain data.
#pragma once

#include "base/ids.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// The writer of a record, and a sequence number by which the writer recognises the record when it reads it back.
struct record_origin {
    instance_id writer;
    std::uint64_t sequence = 0;
};

/// A version of the configuration text. Valid only if `baseVersion` is the version in force at the record's offset.
struct publication_record {
    std::uint64_t baseVersion = 0;
    std::string text;
    std::string author;
};

/// Claims a lease. Valid only if `previous` is the offset of the lease's last valid record, which makes the claim a
/// compare-and-set.
struct claim_record {
    std::string lease;
    log_offset previous;
};

/// Renews a lease. Valid only if `term` is the lease's term at the record's offset.
struct renewal_record {
    std::string lease;
    log_offset term;
};

/// Releases a lease, so that another node may claim it without waiting for its expiry.
struct release_record {
    std::string lease;
    log_offset term;
};

enum class order_kind : unsigned char { role, model, adapter, version, leave, none };

std::string_view toString(order_kind kind);
order_kind parseOrderKind(std::string_view text);

/// The setting that an order changes at a target, and its new value.
struct target_order {
    order_kind kind = order_kind::none;
    std::string value;

    bool operator==(const target_order&) const = default;
};

/// An order to one target. Valid only under the lease's term, if `previous` is the target's last valid order, and if
/// that order is closed or is replaced by this one at a target that checks fencing tokens.
struct order_record {
    std::string lease;
    log_offset term;
    std::string target;
    target_order order;
    bool checksFencing = false;
    log_offset previous;
    bool replacesOpen = false; ///< reissues the open order with this record's offset as its fencing token
    std::uint64_t targetIncarnation = 0; ///< incarnation of the target for which the order was issued
};

/// Reason for which an order was closed.
enum class order_end : unsigned char {
    effect_seen, ///< the target's status shows the ordered setting
    refused, ///< the target rejected the order
    never_sent, ///< the deliverer dropped the order before any byte was sent
    delivery_closed, ///< the deliverer's connection is closed in both directions; no copy can still arrive
    deliverer_ended, ///< the deliverer's process has ended, and bytes buffered by its kernel have expired
    operator_said, ///< an operator closed the order
    count
};

std::string_view toString(order_end end);
order_end parseOrderEnd(std::string_view text);

/// Closes the open order of a target.
struct order_end_record {
    std::string lease;
    log_offset term;
    std::string target;
    log_offset order;
    order_end reason = order_end::effect_seen;
};

/// Replicated state of one lease.
struct lease_state {
    instance_id holder; ///< invalid if the lease is free
    log_offset term; ///< offset of the holder's claim
    log_offset last; ///< offset of the lease's last valid record

    bool operator==(const lease_state&) const = default;
};

/// Replicated state of the orders to one target.
struct target_orders {
    log_offset last; ///< offset of the target's last valid order
    bool isOpen = false;
    std::string lease;
    log_offset term; ///< lease term under which the last order was issued
    instance_id deliverer;
    target_order order;
    bool checksFencing = false;
    std::uint64_t targetIncarnation = 0;
    bool isReissue = false; ///< copies with lower fencing tokens may still be in flight

    bool operator==(const target_orders&) const = default;
};

/// Replicated state of the configuration that is currently in use.
struct configuration_state {
    std::uint64_t version = 0; ///< 0 if nothing was published yet
    log_offset offset;
    std::string text;
    std::string author;
    std::uint64_t hash = 0;

    bool operator==(const configuration_state&) const = default;
};

/// The state established by all records of the log before offset `asOf`.
struct replicated_data {
    log_offset asOf { 0 };
    configuration_state configuration;
    std::map<std::string, lease_state> leases;
    std::map<std::string, target_orders> orders; // by target name

    bool operator==(const replicated_data&) const = default;
};

/// A snapshot of the replicated state, by which it outlives the log's retention. Any node may write one, since its
/// content follows from the records before `asOf`.
struct snapshot_record {
    replicated_data data;
};

using record_body = std::variant<publication_record, claim_record, renewal_record, release_record, order_record,
    order_end_record, snapshot_record>;

/// A record together with its offset and origin.
struct log_record {
    log_offset offset;
    record_origin origin;
    record_body body;
};

}
