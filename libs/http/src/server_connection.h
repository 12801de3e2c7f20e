// Provides the server side of one caller's connection, which handles its requests one after the other.
#pragma once

#include "http/client_budget.h"
#include "http/http_server.h"
#include "http/unsent_bytes.h"
#include "request_reader.h"
#include "stream_socket.h"

#include <QObject>
#include <QTimer>
#include <optional>
#include <utility>

namespace tamarack::detail {

class server_connection;

/// The state shared by all connections of one server.
struct server_shared {
    http_server_limits limits;
    http_server::request_handler onRequest;
    http_server::refusal_handler onRefusal;
    http_server::discard_handler onDiscarded;
    std::function<void()> onUnsentExceeded; ///< what is held exceeds the total; set by the server
    std::shared_ptr<client_budget> budget; ///< never null
    waiting_connections waiting; ///< those of this server; the budget has those of all
    unsent_bytes unsent;
    int connections = 0;
    std::uint64_t connectionsAccepted = 0;
    bool isDraining = false;

    /// Replaces what the connection holds of responses, also in the budget.
    void updateUnsent(const server_connection* connection, std::size_t bytes);
};

class server_connection : public QObject, private stream_listener, private budgeted_connection {
public:
    server_connection(int descriptor, std::shared_ptr<server_shared> shared);
    ~server_connection() override;

    void sendHead(const http_response_head& head, response_framing framing, std::uint64_t length);
    void flushHead();
    void sendBody(std::string_view bytes);
    void finishAnswer();
    std::uint64_t number() const { return m_number; }
    std::size_t bytesQueued() const { return m_socket.bytesQueued(); }
    std::size_t queueLimit() const { return m_shared->unsent.queueLimit(); }
    /// Resets the connection because its caller reads too slowly. A response in progress ends as if the caller had
    /// left.
    void cut() { handleClosed(); }
    /// Ends the response early, such that the caller cannot mistake the truncated response for a complete one. If
    /// `whenWritten` is set, the bytes written so far are sent first where that is possible.
    void abortAnswer(bool whenWritten);
    bool isIdle() const { return !m_writer && m_reader.state() == reader_state::empty && !m_isLingering; }
    /// Called after the server's limits have changed. They apply to the next request of a connection that waits for
    /// one. Such a connection is kept for the new idle timeout if that is longer, and never shorter than callers may
    /// expect.
    void limitsChanged();
    /// Closes the connection if it waits for a request, unless bytes of one have arrived already. Those are processed
    /// instead.
    void closeIfIdle(close_reason reason);

private:
    void onReadable() override;
    void onWritten() override;
    void onPartWritten() override { updateUnsent(); }
    void onEnded(stream_end) override { handleClosed(); }
    void dropReceived() override;
    void giveUpPlace() override;

    void sendBytes(std::string_view bytes);
    /// Closes the connection with an orderly TCP shutdown after all queued bytes have been sent.
    void closeGracefully(close_reason reason);
    void process();
    void restartReadTimer(reader_state before);
    void dispatch();
    void refuse(error_kind kind, std::string_view detail);
    void onTimeout();
    void readNextRequest();
    void beginIdle();
    void extendIdle();
    /// Counts what is held of requests that no handler has, and returns memory that is no longer needed.
    void updateReceived();
    /// Counts the same and lets others go if it is too much. Returns false if this connection has to go.
    bool makeRoom();
    /// The connection waits for its client from now on, and may be closed for another one.
    void beginWaiting(waiting_connections::rank first, instant since);
    void endWaiting();
    void updateWaiting();
    /// Ends the count of this connection, which is closed or about to be.
    void leave();
    /// Passes bytes to the socket and counts what it holds of them.
    void send(std::string_view bytes);
    void updateUnsent();
    void handleClosed();
    void discardInput();
    std::shared_ptr<response_writer> detachWriter();

    std::shared_ptr<server_shared> m_shared;
    const std::uint64_t m_number;
    stream_socket m_socket;
    request_reader m_reader;
    std::string m_input; // received, not yet parsed
    std::shared_ptr<response_writer> m_writer; // set while a request is being handled
    QTimer m_timer; // timeout of the next action of the caller
    duration m_announcedIdle = duration::zero(); // as the last response says in Keep-Alive; zero: it says nothing
    instant m_idleSince;
    instant m_idleUntil; // the timer is due then while the connection waits for a request
    std::string m_unsentHead; // sent in one packet with the first bytes of the body
    std::uint64_t m_bodyBytesLeft = 0; // unsent rest of a response with a known length
    instant m_bodySince; // when the head of the request that is being received was whole
    std::optional<std::pair<waiting_connections::rank, instant>> m_waitsAs; // not set while a request is in progress
    bool m_isCounted = true; // in the numbers of connections
    response_framing m_framing = response_framing::no_body;
    bool m_keepsAlive = true;
    bool m_isHttp10 = false;
    bool m_isHead = false; // the response to HEAD has no body
    bool m_sentContinue = false;
    bool m_isRefusing = false; // the response says that the input was malformed or exceeded a limit
    discarded_input m_discarded; // its reason is set once the connection lingers
    instant m_closedAt; // begin of the lingering
    bool m_isLingering = false; // the response is complete; further bytes of the caller are discarded
};

}
