// Implements the ranking of peers.
#include "serving/origin_holders.h"

#include "base/hash.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace tamarack::serving {

namespace {

    constexpr std::size_t holderCount = 3;
    /// Of each availability zone, as many peers are asked.
    constexpr std::size_t askedInEachZone = 2;
    constexpr std::size_t minAsked = 2 * holderCount;

}

void origin_holders::setPeers(std::vector<origin_peer> peers)
{
    m_peers = std::move(peers);
    std::set<std::string> zones;
    for (const auto& peer : m_peers)
        zones.insert(peer.availabilityZone);
    m_zones = zones.size();
}

std::vector<node_endpoint> origin_holders::toldOf(stream_key stream) const { return ranked(stream, holderCount); }

std::vector<node_endpoint> origin_holders::askedOf(stream_key stream) const
{
    return ranked(stream, std::max(minAsked, askedInEachZone * m_zones));
}

std::vector<node_endpoint> origin_holders::ranked(stream_key stream, std::size_t count) const
{
    const auto seed = rendezvousSeed(std::to_string(stream.value));
    std::vector<std::pair<std::uint64_t, const origin_peer*>> byWeight;
    for (const auto& peer : m_peers)
        byWeight.emplace_back(rendezvousWeight(seed, peer.vm), &peer);
    std::sort(byWeight.begin(), byWeight.end(),
        [](const auto& a, const auto& b) { return std::tie(b.first, a.second->vm) < std::tie(a.first, b.second->vm); });
    std::map<std::string_view, std::size_t> inZone;
    std::vector<std::pair<std::size_t, const origin_peer*>> byRound;
    for (const auto& [weight, peer] : byWeight)
        byRound.emplace_back(inZone[peer->availabilityZone]++, peer);
    std::stable_sort(byRound.begin(), byRound.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<node_endpoint> out;
    for (std::size_t i = 0; i < std::min(count, byRound.size()); ++i)
        out.push_back(byRound[i].second->address);
    return out;
}

}
