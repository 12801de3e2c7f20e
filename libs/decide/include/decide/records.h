// The records that the system keeps on the platform's log, as plain data.
#pragma once

#include "base/ids.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// Who wrote a record, and a number by which that writer recognises it when it reads it back.
struct record_origin {
    instance_id writer;
    std::uint64_t sequence = 0;
};

/// A version of the operators' text. Accepted only if `baseVersion` is the version in force at its place in the log.
struct publication_record {
    std::uint64_t baseVersion = 0;
    std::string text;
    std::string author;
};

/// Takes a lease. Valid only if `previous` is the offset of the lease's last valid record: a compare-and-set by order.
struct claim_record {
    std::string lease;
    log_offset previous;
};

/// Valid only under the term that holds at its offset.
struct renewal_record {
    std::string lease;
    log_offset term;
};

/// Gives a lease up, so that another may take it without waiting.
struct release_record {
    std::string lease;
    log_offset term;
};

enum class order_kind : unsigned char { role, model, adapter, version, leave, none };

std::string_view toString(order_kind kind);
order_kind parseOrderKind(std::string_view text);

/// What a target is told to become.
struct target_order {
    order_kind kind = order_kind::none;
    std::string value;

    bool operator==(const target_order&) const = default;
};

/// An order to one target. Valid only under the lease's term, if `previous` is the target's last valid order, and if
/// that one is closed, or is replaced by this one at a target that checks fencing numbers.
struct order_record {
    std::string lease;
    log_offset term;
    std::string target;
    target_order order;
    bool checksFencing = false;
    log_offset previous;
    bool replacesOpen = false; ///< re-issues the open order under this record's number
    std::uint64_t targetIncarnation = 0; ///< the life of the target to which the order was issued
};

enum class order_end : unsigned char {
    effect_seen, ///< the target's status shows it
    refused, ///< the target said no
    never_sent, ///< its deliverer dropped it before any byte left
    delivery_closed, ///< its deliverer's connection is closed both ways; no copy can still arrive
    deliverer_ended, ///< its deliverer's process is gone, and what its kernel may have buffered has expired
    operator_said,
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

struct lease_state {
    instance_id holder; ///< invalid when nobody holds it
    log_offset term; ///< offset of the holder's claim
    log_offset last; ///< offset of the lease's last valid record

    bool operator==(const lease_state&) const = default;
};

struct target_orders {
    log_offset last; ///< the target's last valid order
    bool isOpen = false;
    std::string lease;
    log_offset term; ///< the term under which the last order was issued
    instance_id deliverer;
    target_order order;
    bool checksFencing = false;
    std::uint64_t targetIncarnation = 0;
    bool isReissue = false; ///< copies under former numbers may still be on their way

    bool operator==(const target_orders&) const = default;
};

struct configuration_state {
    std::uint64_t version = 0; ///< 0: nothing was published yet
    log_offset offset;
    std::string text;
    std::string author;
    std::uint64_t hash = 0;

    bool operator==(const configuration_state&) const = default;
};

/// All that the log's records before `asOf` have established.
struct agreed_data {
    log_offset asOf { 0 };
    configuration_state configuration;
    std::map<std::string, lease_state> leases;
    std::map<std::string, target_orders> orders; // by target name

    bool operator==(const agreed_data&) const = default;
};

/// Restates the agreed state, so that it outlives the log's retention. It needs no authority: what it says is what the
/// records before `asOf` say, whoever writes it down.
struct snapshot_record {
    agreed_data data;
};

using record_body = std::variant<publication_record, claim_record, renewal_record, release_record, order_record,
    order_end_record, snapshot_record>;

struct log_record {
    log_offset offset;
    record_origin origin;
    record_body body;
};

}
