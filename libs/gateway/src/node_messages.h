// Messages between nodes and their binary encoding.
#pragma once

#include "gateway/keyed_log.h"
#include "quarantine/request_quarantine.h"
#include "serving/message_relay.h"
#include "serving/node_directory.h"
#include "serving/peer_load.h"
#include "serving/permit_issuer.h"
#include "serving/prefill_queues.h"
#include "serving/stream_origins.h"
#include "serving/target_follower.h"
#include "serving/target_health.h"
#include "serving/target_limits.h"
#include "serving/target_paths.h"
#include "usage/usage_report.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// A prompt prefix that was cached or evicted by an engine, as observed by a node that monitors the engine.
struct cache_update {
    std::uint32_t target = 0; ///< shortHash() of the engine's instance
    std::uint64_t part = 0;
    std::uint32_t tokens = 0; ///< length of the prefix; 0: evicted
};

struct node_heartbeat {
    serving::node_status pulse;
    std::optional<serving::node_state> fullState; ///< full state of the sender; sent after its start and periodically
    std::vector<serving::load_entry> load;
    std::vector<serving::prefill_report> jobs; ///< all jobs whose prefill is not finished
    std::vector<cache_update> caches;
    std::vector<serving::health_report> health; ///< of targets with recent failures
    std::vector<std::uint32_t> changingEngines; ///< shortHash() of each engine whose role the sender is changing
    std::optional<quarantine_record> quarantine; ///< one of the sender's records, in rotation
    std::optional<serving::limit_report> limit; ///< one of the limits that the sender knows, in rotation
};

/// Sent when quarantine records have changed.
struct quarantine_note {
    std::vector<quarantine_record> records;
};

/// Sent when limits of targets have changed.
struct limit_note {
    std::vector<serving::limit_report> limits;
};

/// Sent to the node that issues the permits of the targets.
struct permit_request {
    std::vector<serving::permit_ask> asks;
};

/// The permits for nodes that have asked.
struct permit_reply {
    std::vector<serving::permit_grant> grants;
};

/// Sent when prompts are sent to engines, so that peers do not choose the same engine before the next heartbeat.
struct job_announcement {
    std::uint32_t node = 0; ///< shortHash() of the sender's VM
    std::vector<serving::prefill_report> jobs;
};

/// Sent after a full listing of an engine's cache.
struct cache_update_batch {
    std::vector<cache_update> caches;
};

/// Sent after each complete read of a store topic. Times are in microseconds of the sender's boot clock.
struct read_progress {
    std::uint32_t node = 0; ///< shortHash() of the sender's VM
    std::int64_t startedAt = 0; ///< start time of the sender's process; changes on restart
    std::int64_t sentAt = 0;
    std::uint64_t configurationVersion = 0;
    std::int64_t configurationAt = 0; ///< 0: never read
    std::int64_t lastTargetChange = -1;
    std::int64_t targetsAt = 0; ///< 0: never read
};

/// Sent with each heartbeat. Times are in microseconds of the sender's boot clock, so that the receiver can tell how
/// long the message was on its way.
struct list_position {
    std::uint32_t node = 0; ///< shortHash() of the sender's VM
    std::int64_t startedAt = 0; ///< start time of the sender's process; changes on restart
    std::int64_t sentAt = 0;
    std::int64_t lastTargetChange = -1; ///< applied by the sender
};

/// Sent to known nodes from which nothing is received, and as a reply to nodes that look for this one.
struct node_probe {
    serving::node_state sender;
    bool expectsReply = false; ///< the sender receives nothing from the addressee and asks for a reply
};

/// A compressed record of the store. A configuration of 2,800 routes takes 0.8 MB in the store, which is 0.7 s of a
/// link of 10 Mbit/s; compressed it takes a tenth of that.
struct compressed_record {
    std::int64_t offset = 0;
    std::string key;
    std::string bytes;
};

compressed_record compress(const keyed_record& record);
/// Returns nothing if the bytes are malformed or the decompressed size is implausible.
std::optional<keyed_record> decompress(const compressed_record& record);

/// State for a node that has just started or has missed the newest version.
struct shared_state {
    std::optional<compressed_record> configuration; ///< as written by operators
    serving::target_list_snapshot targets;
    std::vector<serving::node_report> nodes; ///< all known nodes, alive or not
    std::vector<quarantine_record> quarantine;
    std::vector<serving::limit_report> limits; ///< of targets
    std::vector<serving::build_sighting> builds; ///< that services have or had lately
    duration buildHistory = duration::zero(); ///< for how long the sender has noticed every build
    bool knowsNodes = false; ///< the sender knows all nodes that have registered
    bool isStoreReachable = false; ///< by the sender
};

/// A node's knowledge of the contents of the engines' caches.
struct cache_snapshot {
    std::vector<cache_update> parts;
    bool isComplete = false; ///< the sender has monitored long enough, or was given a complete snapshot
};

/// A target note is sent by a node that reads the target list on behalf of others. New kinds of messages are added at
/// the end: nodes that do not know a kind drop messages of this kind only.
using peer_datagram = std::variant<node_heartbeat, job_announcement, serving::target_update_batch, node_probe,
    cache_update_batch, read_progress, quarantine_note, usage_report, serving::path_report, serving::origin_notes,
    serving::origin_question, serving::origin_reply, limit_note, permit_request, permit_reply, list_position>;

/// Encodes a message. Heartbeats are truncated to stay below the usual path MTU.
std::string encodeDatagram(peer_datagram message);
/// Splits a note into a chain of notes, each below the usual path MTU.
std::vector<serving::target_update_batch> splitTargetNote(serving::target_update_batch note);
std::optional<peer_datagram> decodeDatagram(const std::string& bytes);
/// Encodes the payload of a relay datagram, whose messages are already encoded and may come from any node.
std::string encodeRelayPayload(const serving::relay_payload& load);
std::optional<serving::relay_payload> decodeRelayPayload(const std::string& bytes);
std::string encodeState(const shared_state& state);
std::optional<shared_state> decodeState(const std::string& bytes);
/// Splits updates into messages, each below the usual path MTU.
std::vector<cache_update_batch> splitCacheUpdates(std::vector<cache_update> caches);
/// Splits the message into messages, each below the usual path MTU.
std::vector<serving::origin_message> splitOrigins(serving::origin_message message);
/// Splits records into notes, each below the usual path MTU.
std::vector<quarantine_note> splitQuarantineNote(std::vector<quarantine_record> records);
/// Splits reports into notes, each below the usual path MTU.
std::vector<limit_note> splitLimits(const std::vector<serving::limit_report>& limits);
std::string encodeQuarantine(const quarantine_record& record);
std::optional<quarantine_record> decodeQuarantine(const std::string& bytes);
std::string encodeCaches(const cache_snapshot& caches);
std::optional<cache_snapshot> decodeCaches(const std::string& bytes);
std::string encodeNode(const serving::node_state& node);
std::optional<serving::node_state> decodeNode(const std::string& bytes);

}
