// What nodes tell each other, and its encoding.
#pragma once

#include "gateway/keyed_log.h"
#include "serving/message_relay.h"
#include "serving/node_directory.h"
#include "serving/peer_load.h"
#include "serving/prefill_queues.h"
#include "serving/target_follower.h"
#include "serving/target_health.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// A part of a prompt that an engine has or has no more, told by a node that watches its cache.
struct cache_news {
    std::uint32_t target = 0; ///< shortHash() of its instance
    std::uint64_t part = 0;
    std::uint32_t tokens = 0; ///< 0: no more
};

struct node_heartbeat {
    serving::node_status pulse;
    std::optional<serving::node_state> whole; ///< told when a node has started, and now and then
    std::vector<serving::load_entry> load;
    std::vector<serving::prefill_report> jobs; ///< all that are not read yet
    std::vector<cache_news> caches;
    std::vector<serving::health_report> health; ///< of targets that have failed lately
    std::vector<std::uint32_t> changing; ///< engines that the sender has change their role; shortHash() of each
};

/// Sent when prompts go to engines, so that peers do not choose the same engine before the next heartbeat.
struct job_note {
    std::uint32_t node = 0; ///< shortHash() of the sender's VM
    std::vector<serving::prefill_report> jobs;
};

/// Sent when an engine was asked for all that it keeps.
struct cache_note {
    std::vector<cache_news> caches;
};

/// Sent after each complete read of a store topic. Times are microseconds of the sender's boot clock.
struct read_note {
    std::uint32_t node = 0; ///< shortHash() of the sender's VM
    std::int64_t startedAt = 0; ///< of the sender's process; changes on restart
    std::int64_t sentAt = 0;
    std::uint64_t configurationVersion = 0;
    std::int64_t configurationAt = 0; ///< 0: never read
    std::int64_t lastTargetChange = -1;
    std::int64_t targetsAt = 0; ///< 0: never read
};

/// Sent to nodes that are known but not heard, and to those that seek this node.
struct node_greeting {
    serving::node_state sender;
    bool isSeeking = false; ///< the sender does not hear the receiver, and wants to
};

/// A record of the store, compressed: a configuration of 2,800 routes takes 0.8 MB as operators write it, which is 0.7
/// s of a link of 10 Mbit/s, and a tenth of that compressed.
struct packed_record {
    std::int64_t offset = 0;
    std::string key;
    std::string bytes;
};

packed_record pack(const keyed_record& record);
/// Empty if the bytes are no packed value, or one of an implausible size.
std::optional<keyed_record> unpack(const packed_record& record);

/// What a node lacks that has just started, or has not got the newest version yet.
struct shared_state {
    std::optional<packed_record> configuration; ///< as operators wrote it
    serving::target_list_snapshot targets;
    std::vector<serving::node_report> nodes; ///< whether they seem alive or not
    bool knowsNodes = false; ///< the sender knows all that have registered
    bool isStoreReachable = false; ///< by the sender
};

/// What a node knows of the engines' memories.
struct known_caches {
    std::vector<cache_news> parts;
    bool isComplete = false; ///< it has watched for long enough, or was told by one that had
};

/// A target note is sent by a node that follows the target list closely.
using peer_datagram
    = std::variant<node_heartbeat, job_note, serving::target_update_batch, node_greeting, cache_note, read_note>;

/// Heartbeats stay below the usual path MTU; what does not fit is left out.
std::string encodeDatagram(peer_datagram message);
/// As many notes as it takes for each to stay below the usual path MTU, in one chain.
std::vector<serving::target_update_batch> splitNote(serving::target_update_batch note);
std::optional<peer_datagram> decodeDatagram(const std::string& bytes);
/// Its messages are encoded ones of any nodes, as they were told.
std::string encodeLoad(const serving::relay_payload& load);
std::optional<serving::relay_payload> decodeLoad(const std::string& bytes);
std::string encodeState(const shared_state& state);
std::optional<shared_state> decodeState(const std::string& bytes);
/// As many notes as it takes for each to stay below the usual path MTU.
std::vector<cache_note> splitCaches(std::vector<cache_news> caches);
std::string encodeCaches(const known_caches& caches);
std::optional<known_caches> decodeCaches(const std::string& bytes);
std::string encodeNode(const serving::node_state& node);
std::optional<serving::node_state> decodeNode(const std::string& bytes);

}
