// Interface to the store: topics of keyed records, compacted to the newest record of each key.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// The topics that a node reads. The implementation defines their names on the wire.
enum class store_topic : unsigned char {
    configuration,
    targets,
    nodes,
    orders, ///< claims of the lease for role orders; its records have no keys
    quarantine, ///< requests that crash their targets
    duties ///< what is reported and ordered at the platform for the fleet
};

struct keyed_record {
    std::int64_t offset = 0;
    std::string key;
    std::optional<std::string> value; ///< empty: the key was deleted
};

struct newest_page {
    std::vector<keyed_record> records;
    std::int64_t end = 0; ///< offset after the last record of the topic
    bool hasMore = false;
};

struct record_page {
    std::vector<keyed_record> records;
    std::int64_t end = 0;
    std::int64_t next = 0; ///< offset after the last record of this page
};

/// Result of a conditional append.
struct placed_append {
    bool isAppended = false;
    std::int64_t offset = 0; ///< offset of the record; if nothing was appended, the end of the topic
};

enum class store_error : unsigned char {
    unreachable, ///< no connection, no response in time, or a malformed response
    refused, ///< the store rejected the call without effect
    expired ///< the requested records are no longer retained
};

std::string_view toString(store_error error);

template <class T> using store_result = std::variant<T, store_error>;
template <class T> using store_handler = std::function<void(store_result<T>)>;

/// Every call invokes its handler exactly once, from the event loop, within the call's own time limit. No call is ever
/// retransmitted. The implementation must outlive its calls.
class keyed_log {
public:
    virtual ~keyed_log() = default;
    /// Reads the newest record of each key, in pages; `after` is the last key of the previous page. Fails if no byte of
    /// the response arrives for `idleTimeout`.
    virtual void newest(
        store_topic topic, const std::string& after, duration idleTimeout, store_handler<newest_page> done)
        = 0;
    /// Reads records from an offset on. If there are none yet, the store responds after `wait` at the latest (long
    /// poll).
    virtual void read(store_topic topic, std::int64_t from, duration wait, store_handler<record_page> done) = 0;
    /// Appends a record and yields its offset. After `unreachable` the record may still be appended.
    virtual void append(
        store_topic topic, const std::string& key, const std::string& value, store_handler<std::int64_t> done)
        = 0;
    /// Appends a record only if the topic ends at `at`. After `unreachable` it may still be appended. `key` is empty in
    /// topics whose records have no keys.
    virtual void appendAt(store_topic topic, std::int64_t at, const std::string& key, const std::string& value,
        store_handler<placed_append> done)
        = 0;
};

}
