// Defines the messages that nodes exchange, heartbeats over UDP and requests over TCP, and their encoding.
#pragma once

#include "decide/key_registry.h"
#include "decide/membership.h"
#include "quarantine/request_quarantine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// Load of one target, forwarded in heartbeats. Kept small because a node forwards hundreds of them.
struct load_entry {
    std::uint32_t targetHash = 0; ///< low 32 bits of the stable hash of the target's name
    std::uint16_t running = 0; ///< requests
    std::uint16_t prefillPieces = 0; ///< queued prompt tokens, in units of 1000/16 tokens
    std::uint16_t ageMilliseconds = 0; ///< of the measurement when the heartbeat is sent
    std::uint8_t flags = 0; ///< load_flags and the role
};

/// Demand for one service at the sender.
struct demand_entry {
    std::uint32_t serviceHash = 0;
    float promptTokens = 0; ///< per second
    float outputTokens = 0; ///< per second
    std::uint8_t refusedShare = 0; ///< share of the work that is refused, in units of 1/255
};

/// A node known to the sender. Digest entries spread new nodes and new incarnations by gossip.
struct digest_entry {
    std::string vm;
    std::string address;
    std::uint16_t peerPort = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t configurationVersion = 0;
};

struct heartbeat {
    peer_state sender;
    std::vector<load_entry> loads;
    std::vector<demand_entry> demands;
    std::vector<digest_entry> digest;
    std::vector<quarantine_record> quarantine; ///< some of the sender's records, in rotation
};

enum class peer_question : std::uint8_t {
    agreed_state, ///< asks for the state established by the log, as far as the receiver has read it
    key ///< asks for permission to run a non-idempotent request whose key has its home at the receiver
};

struct peer_request {
    peer_question question = peer_question::agreed_state;
    instance_id asker;
    std::string key;
    key_home home;
};

struct peer_reply {
    bool isKnown = false; ///< false if the receiver could not answer the question
    std::string agreedState; ///< an encoded snapshot record
    key_answer key;
};

std::string encodeHeartbeat(const heartbeat& message);
std::string encodeRequest(const peer_request& message);
std::string encodeReply(const peer_reply& message);
/// The decoders return nothing if the bytes are damaged or are not a message of this protocol version.
std::optional<heartbeat> decodeHeartbeat(const std::string& bytes);
std::optional<peer_request> decodeRequest(const std::string& bytes);
std::optional<peer_reply> decodeReply(const std::string& bytes);

}
