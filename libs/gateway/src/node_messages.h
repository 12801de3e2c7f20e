// What nodes tell each other, and its encoding.
#pragma once

#include "gateway/keyed_log.h"
#include "serving/node_directory.h"
#include "serving/peer_work.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

struct node_heartbeat {
    serving::node_state sender;
    std::vector<serving::work_entry> work;
};

/// What a node that has just started needs when the store does not answer.
struct shared_state {
    std::optional<keyed_record> configuration; ///< as operators wrote it
    std::vector<keyed_record> targets;
    std::vector<serving::node_state> nodes;
};

/// Datagrams stay below the usual path MTU; what does not fit is left out, least work first.
std::string encodeNodeHeartbeat(node_heartbeat message);
std::optional<node_heartbeat> decodeNodeHeartbeat(const std::string& bytes);
std::string encodeState(const shared_state& state);
std::optional<shared_state> decodeState(const std::string& bytes);
std::string encodeNode(const serving::node_state& node);
std::optional<serving::node_state> decodeNode(const std::string& bytes);

}
