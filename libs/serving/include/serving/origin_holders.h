// Selects the peers that keep the origin of a stream.
#pragma once

#include "serving/origin_table.h"
#include "serving/relay_plan.h"

#include <string>
#include <vector>

namespace tamarack::serving {

struct origin_peer {
    std::string vm;
    std::string availabilityZone;
    node_endpoint address;
};

/// Ranks peers by rendezvous hash of the stream, availability zone by availability zone: the first ones are the best of
/// each zone, then come the second ones. When peers come or go, the ranks of the others in their zone stay, so a
/// question reaches those that were told as long as one of them is alive.
class origin_holders {
public:
    void setPeers(std::vector<origin_peer> peers);
    /// The peers that are told the origin of a stream.
    std::vector<node_endpoint> toldOf(stream_key stream) const;
    /// The peers that are asked for it: more than are told, since ranks shift when a peer returns without its notes.
    std::vector<node_endpoint> askedOf(stream_key stream) const;
    bool hasPeers() const { return !m_peers.empty(); }

private:
    std::vector<node_endpoint> ranked(stream_key stream, std::size_t count) const;

    std::vector<origin_peer> m_peers;
    std::size_t m_zones = 0; // number of different availability zones of the peers
};

}
