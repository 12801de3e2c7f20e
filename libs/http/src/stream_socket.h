// Provides a non-blocking TCP connection on the event loop. QTcpSocket is not used, because it reports a connection
// reset as an orderly end, and a response that is delimited by the end of the connection is complete only after an
// orderly end.
#pragma once

#include "http/http_client.h"

#include <QSocketNotifier>
#include <memory>
#include <string>
#include <string_view>

namespace tamarack::detail {

enum class stream_end : unsigned char {
    none,
    finished, ///< the peer has closed its sending side in order
    reset, ///< connection reset: the bytes received may be incomplete
    refused, ///< the connection was not established, so no byte was sent
    failed
};

/// Receives the events of a stream_socket.
class stream_listener {
public:
    virtual void onConnected() { }
    /// Called when bytes can be read, or when the peer has closed or reset the connection.
    virtual void onReadable() = 0;
    /// Called when all queued bytes have been passed to the kernel.
    virtual void onWritten() { }
    /// Called when a part of the queued bytes has been passed to the kernel.
    virtual void onPartWritten() { }
    /// Called when connecting or sending has failed. An end that read() detects is reported by read() only. Called at
    /// most once, as the last call, and never from inside a call on the socket.
    virtual void onEnded(stream_end end) = 0;

protected:
    ~stream_listener() = default;
};

/// Owns one file descriptor. Threading: the event loop's thread only. A listener may destroy the socket in any
/// callback.
class stream_socket {
public:
    /// Starts to connect. A failure is reported as `stream_end::refused`.
    stream_socket(const endpoint& peer, stream_listener& listener);
    /// Takes ownership of the descriptor of an accepted connection.
    stream_socket(int descriptor, stream_listener& listener);
    ~stream_socket();
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    void setListener(stream_listener& listener) { m_listener = &listener; }
    bool isConnected() const { return m_state == state::open; }
    static constexpr std::size_t maxReadBytes = 64 * 1024;

    /// Appends received bytes to `out`, `maxBytes` and `maxReadBytes` at most. Returns the end of the connection only
    /// after all bytes before it have been read.
    stream_end read(std::string& out, std::size_t maxBytes = maxReadBytes);
    /// Whether unread bytes or the end of the connection have arrived, which the event loop may not have noticed yet.
    bool hasInput() const;
    /// Passes to the kernel what it accepts now, and queues the rest.
    void write(std::string_view bytes);
    std::size_t bytesQueued() const { return m_outgoing.size() - m_sent; }
    /// Bytes that are held for sending: those queued, and some that were sent already.
    std::size_t bytesHeld() const { return m_outgoing.size(); }
    /// Memory that is allocated for sending.
    std::size_t bytesAllocated() const
    {
        return m_outgoing.capacity() > std::string().capacity() ? m_outgoing.capacity() : 0;
    }
    /// Whether bytes that were written are queued here or in the kernel, or were not acknowledged by the peer yet.
    bool hasUndelivered() const;
    /// Pauses or resumes the calls of onReadable(). While they are paused, the peer's sends stall and an end of the
    /// connection is not detected.
    void setReading(bool reading);
    /// Closes the sending side after all queued bytes have been sent.
    void finishWriting();
    /// Closes the descriptor at once. Bytes that the kernel has accepted are still sent, unless the peer's bytes were
    /// not all read.
    void close();
    /// Resets the connection: discards the bytes queued here and in the kernel and sends a TCP reset.
    void reset();

private:
    enum class state : unsigned char { connecting, open, ended };

    void createNotifiers();
    void onWritable();
    void flush();
    void discardSent();
    void end(stream_end reason);
    void closeDescriptor();

    stream_listener* m_listener;
    int m_descriptor = -1;
    state m_state = state::connecting;
    std::unique_ptr<QSocketNotifier, void (*)(QSocketNotifier*)> m_readNotifier;
    std::unique_ptr<QSocketNotifier, void (*)(QSocketNotifier*)> m_writeNotifier;
    std::string m_outgoing;
    std::size_t m_sent = 0; // bytes of m_outgoing already passed to the kernel
    bool m_isReading = true;
    bool m_isFinishing = false;
    std::shared_ptr<bool> m_alive; // false once this object is destroyed
};

}
