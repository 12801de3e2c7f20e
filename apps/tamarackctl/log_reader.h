// Reads the whole log into the agreed state, as a node does.
#pragma once

#include "decide/log_follower.h"
#include "platform/log_client.h"

#include <memory>
#include <optional>
#include <string>

namespace tamarack::ctl {

/// A follower for the length of one command. Blocks in an event loop of its own.
class log_reader {
public:
    log_reader(const std::string& logAddress, const std::string& stream);

    /// Reads to the end of the log. False if it does not answer.
    bool readToEnd();
    /// The same; false also if the log's beginning has expired and no snapshot tells what it established.
    bool readState();
    /// Why readState() was false.
    std::string problem() const;
    /// Appends; nothing when the outcome is not known.
    std::optional<std::int64_t> append(const record_body& body);
    /// The verdict on the record with this sequence, once it was read.
    std::optional<verdict> verdictOn(std::uint64_t sequence) const;

    const log_follower& follower() const { return m_follower; }
    std::uint64_t lastSequence() const { return m_sequence; }

private:
    log_client m_client;
    instance_id m_self;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, verdict> m_verdicts; // of this command's own records
    log_follower m_follower;
};

}
