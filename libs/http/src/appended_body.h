// Provides the body type of the response parser.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstdint>
#include <string>

namespace tamarack::detail {

/// A string to which the bytes of the body are appended. The string_body of Beast reserves the whole length that a peer
/// announces, and a peer that announces a petabyte would end the process.
struct appended_body {
    using value_type = std::string;

    class reader {
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }
        static void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }
        template <class Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            const auto before = m_body.size();
            for (auto it = boost::asio::buffer_sequence_begin(buffers); it != boost::asio::buffer_sequence_end(buffers);
                 ++it) {
                const boost::asio::const_buffer part = *it;
                m_body.append(static_cast<const char*>(part.data()), part.size());
            }
            return m_body.size() - before;
        }
        static void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };
};

}
