// Implements the pool of idle connections.
#include "connection_pool.h"

namespace tamarack::detail {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t maxIdlePerPeer = 8;
    constexpr auto sweepInterval = 1s;

}

connection_pool::idle_connection::idle_connection(
    connection_pool& owner, const endpoint& address, std::unique_ptr<stream_socket> idleSocket)
    : pool(owner)
    , peer(address)
    , socket(std::move(idleSocket))
{
    socket->setListener(*this);
}

connection_pool::connection_pool()
{
    QObject::connect(&m_sweepTimer, &QTimer::timeout, [this] { sweep(); });
    m_sweepTimer.start(sweepInterval);
}

std::unique_ptr<stream_socket> connection_pool::take(const endpoint& peer, duration maxIdleTime)
{
    const auto found = m_idle.find(peer);
    if (found == m_idle.end() || found->second.empty())
        return nullptr;
    auto& connections = found->second;
    // The peer may have closed connections since the event loop last looked at them.
    while (!connections.empty() && connections.back().socket->hasInput())
        connections.pop_back();
    if (connections.empty())
        return nullptr;
    auto& newest = connections.back();
    const auto now = boot_clock::now();
    if (now >= newest.expiresAt || now - newest.idleSince >= maxIdleTime) {
        m_idle.erase(found); // the other connections have been idle for even longer
        return nullptr;
    }
    auto socket = std::move(newest.socket);
    connections.pop_back();
    return socket;
}

std::unique_ptr<stream_socket> connection_pool::addIdle(
    const endpoint& peer, std::unique_ptr<stream_socket> socket, duration idleLimit)
{
    auto& connections = m_idle[peer];
    if (connections.size() >= maxIdlePerPeer || !socket->isConnected() || idleLimit <= duration::zero())
        return socket;
    auto& added = connections.emplace_back(*this, peer, std::move(socket));
    added.idleSince = boot_clock::now();
    added.expiresAt = added.idleSince + idleLimit;
    return nullptr;
}

void connection_pool::drop(const idle_connection& dropped)
{
    const auto found = m_idle.find(dropped.peer);
    if (found == m_idle.end())
        return;
    found->second.remove_if([&](const idle_connection& item) { return &item == &dropped; });
}

void connection_pool::sweep()
{
    const auto now = boot_clock::now();
    for (auto& [peer, connections] : m_idle)
        connections.remove_if([&](const idle_connection& item) { return now >= item.expiresAt; });
    std::erase_if(m_idle, [](const auto& item) { return item.second.empty(); });
}

}
