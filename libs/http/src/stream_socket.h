// A TCP connection on the event loop. QTcpSocket is not used: it reports a connection reset as an ordinary end, and an
// answer that ends with its connection is whole only after an ordinary end.
#pragma once

#include "http/http_client.h"

#include <QSocketNotifier>
#include <memory>
#include <string>
#include <string_view>

namespace tamarack::detail {

enum class stream_end : unsigned char {
    none,
    finished, ///< the peer has sent all it wanted to send
    reset, ///< broken off: what came before may be a part only
    refused, ///< never connected, so no byte has left
    failed
};

class stream_listener {
public:
    virtual void onConnected() { }
    /// Bytes wait to be read, or the peer has ended.
    virtual void onReadable() = 0;
    /// What had to be queued was given to the kernel.
    virtual void onWritten() { }
    /// Connecting or sending has failed; what the peer ended itself is told by read(). Called at most once, not from
    /// inside a call on the socket, and last.
    virtual void onEnded(stream_end end) = 0;

protected:
    ~stream_listener() = default;
};

/// Owns one descriptor. Threading: the event loop's thread only. A listener may destroy the socket in any of its calls.
class stream_socket {
public:
    /// Starts to connect; the end `refused` tells that it failed.
    stream_socket(const endpoint& peer, stream_listener& listener);
    /// Takes an accepted descriptor over.
    stream_socket(int descriptor, stream_listener& listener);
    ~stream_socket();
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    void setListener(stream_listener& listener) { m_listener = &listener; }
    bool isConnected() const { return m_state == state::open; }
    /// Appends some of what has come to `out`. The end is told once all bytes before it were read.
    stream_end read(std::string& out);
    /// Sends now what the kernel takes, and keeps the rest.
    void write(std::string_view bytes);
    std::size_t bytesQueued() const { return m_outgoing.size() - m_sent; }
    /// Stops or goes on telling of bytes; the peer's sends then stall. An end is not noticed meanwhile.
    void setReading(bool reading);
    /// Tells the peer that nothing more comes, once everything queued has left.
    void finishWriting();
    /// Drops what is queued here and in the kernel, and tells the peer so.
    void reset();

private:
    enum class state : unsigned char { connecting, open, ended };

    void watch();
    void activatedForWriting();
    void flush();
    void end(stream_end reason);
    void closeDescriptor();

    stream_listener* m_listener;
    int m_descriptor = -1;
    state m_state = state::connecting;
    std::unique_ptr<QSocketNotifier, void (*)(QSocketNotifier*)> m_readNotifier;
    std::unique_ptr<QSocketNotifier, void (*)(QSocketNotifier*)> m_writeNotifier;
    std::string m_outgoing;
    std::size_t m_sent = 0; // bytes of m_outgoing that the kernel has
    bool m_isReading = true;
    bool m_isFinishing = false;
    std::shared_ptr<bool> m_alive; // false once this object is destroyed
};

}
