// One caller's connection: requests in, one after the other, and their answers out.
#pragma once

#include "http/http_server.h"
#include "request_reader.h"
#include "stream_socket.h"

#include <QObject>
#include <QTimer>

namespace tamarack::detail {

/// What the connections of one server share.
struct server_shared {
    http_server_limits limits;
    http_server::request_handler onRequest;
    http_server::refusal_maker onRefusal;
    int connections = 0;
    std::uint64_t heldBytes = 0; ///< of bodies that are still coming in
    bool isDraining = false;
};

class server_connection : public QObject, private stream_listener {
public:
    server_connection(int descriptor, std::shared_ptr<server_shared> shared);
    ~server_connection() override;

    void sendHead(const http_response_head& head, answer_framing framing, std::uint64_t length);
    void sendBody(std::string_view bytes);
    void finishAnswer();
    std::size_t bytesQueued() const { return m_socket.bytesQueued(); }
    /// Breaks the answer off so that no part of it can be taken for the whole.
    void abortAnswer(bool whenWritten);
    bool isIdle() const { return !m_writer && m_reader.state() == reader_state::empty && !m_isLingering; }
    /// Ends the connection in order, for a peer that has no request on it.
    void closeGently();

private:
    void onReadable() override;
    void onWritten() override;
    void onEnded(stream_end) override { closed(); }

    void sendBytes(std::string_view bytes);
    void process();
    void watchProgress(reader_state before);
    void dispatch();
    void refuse(error_kind kind, std::string_view detail);
    void timedOut();
    void readNextRequest();
    void countHeldBytes(std::size_t held);
    void closed();
    std::shared_ptr<response_writer> detachWriter();

    std::shared_ptr<server_shared> m_shared;
    stream_socket m_socket;
    request_reader m_reader;
    std::string m_input; // received, not yet parsed
    std::shared_ptr<response_writer> m_writer; // set while a request is being answered
    QTimer m_timer; // of whatever the caller has to do next
    std::string m_unsentHead; // goes with the first bytes of the body, in one packet
    std::uint64_t m_bodyLeft = 0; // of a sized answer
    std::size_t m_heldBytes = 0; // this connection's part of server_shared::heldBytes
    answer_framing m_framing = answer_framing::whole;
    bool m_keepsAlive = true;
    bool m_isHttp10 = false;
    bool m_isHead = false; // the answer to HEAD has no body
    bool m_sentContinue = false;
    bool m_isLingering = false; // all was said; what the caller still sends is dropped
};

}
