// What nodes tell each other, and its encoding.
#pragma once

#include "gateway/keyed_log.h"
#include "serving/node_directory.h"
#include "serving/peer_load.h"
#include "serving/read_queues.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

struct node_heartbeat {
    serving::node_state sender;
    std::vector<serving::load_entry> load;
    std::vector<serving::told_job> jobs; ///< all that are not read yet
};

/// Sent when prompts go to engines, so that peers do not choose the same engine before the next heartbeat.
struct job_note {
    std::string vm;
    std::vector<serving::told_job> jobs;
};

/// What a node that has just started needs when the store does not answer.
struct shared_state {
    std::optional<keyed_record> configuration; ///< as operators wrote it
    std::vector<keyed_record> targets;
    std::vector<serving::node_state> nodes;
};

using peer_datagram = std::variant<node_heartbeat, job_note>;

/// Datagrams stay below the usual path MTU; what does not fit is left out.
std::string encodeDatagram(peer_datagram message);
std::optional<peer_datagram> decodeDatagram(const std::string& bytes);
std::string encodeState(const shared_state& state);
std::optional<shared_state> decodeState(const std::string& bytes);
std::string encodeNode(const serving::node_state& node);
std::optional<serving::node_state> decodeNode(const std::string& bytes);

}
