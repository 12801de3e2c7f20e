// Decides who may call the platform for the fleet, and with which contents. One node at a time holds the duties.
#pragma once

#include "duties/duty_statement.h"
#include "serving/order_lease.h"

namespace tamarack {

/// A record of the duties' topic as it was read.
struct stored_statement {
    std::int64_t offset = 0;
    std::string value;
};

/// Every statement is a conditional append, and each one is a claim of the lease at the same time: it succeeds only if
/// the writer knows all statements before it. So of two nodes that want to state something, one succeeds, and the other
/// one learns what was stated. The fencing number follows from the offset of the last statement.
///
/// Invariant: what has been stated of a usage window is never replaced by something else.
class duty_log {
public:
    duty_log(std::string vm, std::int64_t process, serving::order_lease_settings lease);

    /// The topic has to be read before the next append.
    bool mustRead() const { return !m_isRead; }
    /// All records of the topic, which ended at `end`.
    void readCompleted(const std::vector<stored_statement>& records, std::int64_t end, instant now);
    /// Offset at which to append a statement now. Empty while an append is in progress, while the topic has to be read,
    /// and while another node may still act on its last statement.
    std::optional<std::int64_t> appendAt(instant now) const;
    /// Returns the record to append.
    duty_record appendSent(duty_statement statement, instant now);
    void appended(std::int64_t offset);
    /// The topic has further records, of another node or of an earlier append of this one.
    void appendRejected();
    /// The append failed, or its outcome is unknown.
    void appendFailed(instant now);

    /// Whether this node may make calls that reach the platform within `length` from now.
    bool holdsFor(duration length, instant now) const { return m_isRead && m_lease.holdsFor(length, now); }
    /// Valid only if holdsFor() is true.
    std::int64_t fencingNumber() const { return m_lease.fencingNumber(); }
    /// Null if nothing is stated of the window.
    const usage_statement* usageOf(std::int64_t window) const;
    /// Null if nothing has been ordered yet.
    const instance_statement* instances() const;

private:
    void apply(const duty_statement& statement);

    std::string m_vm;
    std::int64_t m_process;
    serving::order_lease m_lease;
    bool m_isRead = false;
    std::optional<duty_statement> m_pending; // of the append in progress
    std::map<std::int64_t, usage_statement> m_usage; // by window
    std::optional<instance_statement> m_instances;
};

}
