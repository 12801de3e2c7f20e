// Provides clients that send what no sound client sends, each on a connection of its own.
#pragma once

#include "http/http_client.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace tamarack::harness {

/// What one connection sends: the beginning, then the block again and again.
struct hostile_script {
    std::string beginning;
    std::string block; ///< empty: nothing follows the beginning
    std::size_t maxBytes = 0; ///< the block is not begun again once so many bytes were sent
};

class hostile_clients {
public:
    hostile_clients() = default;
    ~hostile_clients();
    hostile_clients(const hostile_clients&) = delete;
    hostile_clients& operator=(const hostile_clients&) = delete;

    /// Opens connections one after the other, each with the script for its number. They send nothing yet.
    void connect(const endpoint& server, int count, const std::function<hostile_script(int number)>& script);
    /// Sends until each connection has ended or has sent everything, or until no server takes bytes any more. Discards
    /// what servers send.
    void sendAll();
    /// Returns the number of connections that have not ended.
    int open();
    std::size_t bytesSent() const { return m_bytesSent; }
    void closeAll();

private:
    struct client {
        int descriptor = -1; // -1: the connection has ended
        hostile_script script;
        std::size_t sent = 0;
    };

    static bool hasMore(const client& item);
    /// Sends and discards what is possible now. Returns whether any byte was sent.
    bool pump(client& item);
    static void end(client& item);

    std::vector<client> m_clients;
    std::size_t m_bytesSent = 0;
};

}
