// Provides a strict HTTP request parser that rejects requests with ambiguous framing.
#pragma once

#include "base/error_kind.h"
#include "http/http_message.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace tamarack::detail {

enum class reader_state : unsigned char {
    empty, ///< no byte of a request has arrived
    head, ///< the head is incomplete
    body, ///< the body is incomplete
    complete, ///< take() returns the request
    refused ///< the input is malformed or exceeds a limit
};

/// Parses requests with Boost.Beast and adds checks against request smuggling. After a refusal no further request can
/// be read, because it is unknown where the next one begins.
class request_reader {
public:
    request_reader(std::uint32_t headerBytes, std::uint64_t bodyBytes) { restart(headerBytes, bodyBytes); }

    /// Prepares for the next request.
    void restart(std::uint32_t headerBytes, std::uint64_t bodyBytes);
    /// Parses `input` and removes the bytes consumed. Bytes of later requests remain in `input`.
    reader_state feed(std::string& input);
    reader_state state() const { return m_state; }
    /// Whether the caller expects `100 Continue` before it sends the body.
    bool awaitsContinue() const;
    std::size_t bodyBytesBuffered() const;
    http_request take();
    /// Whether the connection may carry another request after this one.
    bool keepsAlive() const { return m_keepsAlive; }
    bool isHttp10() const { return m_isHttp10; }
    error_kind refusalKind() const { return m_refusalKind; }
    const std::string& refusalDetail() const { return m_refusalDetail; }

private:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    reader_state refuse(error_kind kind, std::string detail);
    reader_state refuse(const boost::system::error_code& error);
    /// Returns a description of the first framing error in the head, or an empty string.
    std::string findHeadError() const;

    std::optional<parser_type> m_parser;
    reader_state m_state = reader_state::empty;
    bool m_isHeadChecked = false;
    bool m_keepsAlive = true;
    bool m_isHttp10 = false;
    error_kind m_refusalKind = error_kind::bad_request;
    std::string m_refusalDetail;
};

}
