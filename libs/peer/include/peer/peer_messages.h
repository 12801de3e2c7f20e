// What nodes say to each other: heartbeats over UDP, questions over TCP.
#pragma once

#include "decide/key_registry.h"
#include "decide/membership.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// One target's load, passed on in heartbeats. Small, since a node carries hundreds of them.
struct load_entry {
    std::uint32_t targetHash = 0; ///< low half of the name's stable hash
    std::uint16_t running = 0;
    std::uint16_t prefillPieces = 0; ///< prompt tokens waiting, in sixteenths of a thousand
    std::uint16_t ageMilliseconds = 0;
    std::uint8_t flags = 0; ///< load_flags and the role
};

/// One service's demand at the sender.
struct demand_entry {
    std::uint32_t serviceHash = 0;
    float promptTokens = 0; ///< a second
    float outputTokens = 0; ///< a second
    std::uint8_t refusedShare = 0; ///< of the work, in 255ths
};

/// A node that the sender has heard of, so that knowledge of nodes and of newer lives spreads.
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
};

enum class peer_question : std::uint8_t {
    agreed_state, ///< give me what the log has established, as you know it
    key ///< may I run this non-idempotent request, whose home you are?
};

struct peer_request {
    peer_question question = peer_question::agreed_state;
    instance_id asker;
    std::string key;
    key_home home;
};

struct peer_reply {
    bool isKnown = false; ///< false: the question could not be answered here
    std::string agreedState; ///< an encoded snapshot record
    key_answer key;
};

std::string encodeHeartbeat(const heartbeat& message);
std::string encodeRequest(const peer_request& message);
std::string encodeReply(const peer_reply& message);
/// Nothing for bytes that are no message of ours.
std::optional<heartbeat> decodeHeartbeat(const std::string& bytes);
std::optional<peer_request> decodeRequest(const std::string& bytes);
std::optional<peer_reply> decodeReply(const std::string& bytes);

}
