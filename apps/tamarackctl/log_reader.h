// Provides blocking access to the log: rebuilds the replicated state from it, as a node does, and appends records.
#pragma once

#include "decide/log_follower.h"
#include "platform/log_client.h"

#include <memory>
#include <optional>
#include <string>

namespace tamarack::ctl {

/// Follows the log for the duration of one command. Each call blocks in its own event loop.
class log_reader {
public:
    log_reader(const std::string& logAddress, const std::string& stream);

    /// Reads to the end of the log. Returns false if the log does not respond.
    bool readToEnd();
    /// Reads to the end of the log. Returns false also if the oldest records have expired and no snapshot replaces
    /// them, since the state is then incomplete.
    bool readState();
    /// Describes why readState() returned false.
    std::string failureReason() const;
    /// Appends a record and returns its offset, or nullopt if the outcome is not known.
    std::optional<std::int64_t> append(const record_body& body);
    /// Returns the verdict on this command's record with the given sequence, or nullopt before it was read back.
    std::optional<verdict> verdictOn(std::uint64_t sequence) const;

    const log_follower& follower() const { return m_follower; }
    std::uint64_t lastSequence() const { return m_sequence; }

private:
    log_client m_client;
    instance_id m_self;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, verdict> m_verdicts; // by sequence, for records appended by this command only
    log_follower m_follower;
};

}
