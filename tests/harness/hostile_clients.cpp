// Implements the hostile clients with plain sockets that never block.
#include "harness/hostile_clients.h"

#include "base/clock.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tamarack::harness {

namespace {

    using namespace std::chrono_literals;

    constexpr duration quietTime = 2s; ///< without a byte taken, servers are taken to read no more
    constexpr int pollMilliseconds = 20;
    constexpr std::size_t readBytes = 16 * 1024;

}

hostile_clients::~hostile_clients() { closeAll(); }

void hostile_clients::end(client& item)
{
    if (item.descriptor >= 0)
        ::close(item.descriptor);
    item.descriptor = -1;
}

void hostile_clients::connect(
    const endpoint& server, int count, const std::function<hostile_script(int number)>& script)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    for (int i = 0; i < count; ++i) {
        client item { ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), script(i), 0 };
        if (::connect(item.descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
            end(item);
        else
            fcntl(item.descriptor, F_SETFL, fcntl(item.descriptor, F_GETFL) | O_NONBLOCK);
        m_clients.push_back(std::move(item));
    }
}

bool hostile_clients::hasMore(const client& item)
{
    const auto& script = item.script;
    return item.descriptor >= 0
        && (item.sent < script.beginning.size() || (!script.block.empty() && item.sent < script.maxBytes));
}

bool hostile_clients::pump(client& item)
{
    std::array<char, readBytes> answer;
    const auto received = ::recv(item.descriptor, answer.data(), answer.size(), 0);
    if (received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR)) {
        end(item);
        return false;
    }
    if (!hasMore(item))
        return false;
    const auto& [beginning, block, maxBytes] = item.script;
    const bool isBeginning = item.sent < beginning.size();
    const std::string& part = isBeginning ? beginning : block;
    const std::size_t from = isBeginning ? item.sent : (item.sent - beginning.size()) % block.size();
    const auto count = ::send(item.descriptor, part.data() + from, part.size() - from, MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN && errno != EINTR)
        end(item);
    if (count <= 0)
        return false;
    item.sent += static_cast<std::size_t>(count);
    m_bytesSent += static_cast<std::size_t>(count);
    return true;
}

void hostile_clients::sendAll()
{
    auto lastSentAt = boot_clock::now();
    while (boot_clock::now() < lastSentAt + quietTime && std::any_of(m_clients.begin(), m_clients.end(), hasMore)) {
        std::vector<pollfd> open;
        for (const auto& item : m_clients) {
            if (hasMore(item))
                open.push_back({ item.descriptor, POLLIN | POLLOUT, 0 });
        }
        ::poll(open.data(), open.size(), pollMilliseconds);
        bool hasSent = false;
        for (auto& item : m_clients)
            hasSent |= item.descriptor >= 0 && pump(item);
        if (hasSent)
            lastSentAt = boot_clock::now();
    }
}

int hostile_clients::open()
{
    for (auto& item : m_clients) {
        if (item.descriptor >= 0)
            pump(item);
    }
    return static_cast<int>(
        std::count_if(m_clients.begin(), m_clients.end(), [](const client& item) { return item.descriptor >= 0; }));
}

void hostile_clients::closeAll()
{
    for (auto& item : m_clients)
        end(item);
    m_clients.clear();
}

}
