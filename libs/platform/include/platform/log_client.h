// The platform's append-only log, over HTTP.
#pragma once

#include "base/clock.h"
#include "http/http_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

struct log_entry {
    std::int64_t offset = 0;
    std::string data;
};

/// Part of the log. `first` is the oldest record still kept, `end` the offset that the next append will get.
struct log_page {
    std::int64_t first = 0;
    std::int64_t end = 0;
    std::vector<log_entry> entries;
};

/// Reads and appends. Both may be sent twice by the library below (QNetworkAccessManager does that when the peer closes
/// without an answer); that is safe, since every record of ours is a compare-and-set that counts at most once.
class log_client {
public:
    log_client(const endpoint& service, std::string stream, duration timeout);
    ~log_client();
    log_client(const log_client&) = delete;
    log_client& operator=(const log_client&) = delete;

    /// `done` gets nothing when the log cannot be read now.
    void read(std::int64_t from, std::function<void(std::optional<log_page>)> done);
    /// `done` gets nothing when the outcome is not known: the record may still be there or arrive later.
    void append(const std::string& data, std::function<void(std::optional<std::int64_t>)> done);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
