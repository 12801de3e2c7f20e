// Counts what a process holds for the clients of all its servers, and says what to let go when it is too much.
#pragma once

#include "base/clock.h"
#include "http/byte_ledger.h"

#include <compare>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace tamarack {

struct client_budget_limits {
    /// Memory for requests, from their first byte to the end of their handling, and for unsent bytes of responses.
    std::uint64_t bytes = 256 * 1024 * 1024;
    /// Additional memory for what connections receive that hold no more than `smallBytes` each, so that ordinary
    /// requests are taken while long ones fill the rest.
    std::uint64_t reservedBytes = 16 * 1024 * 1024;
    std::size_t smallBytes = 64 * 1024;
    /// Connections of all servers together.
    int connections = 20'000;
};

enum class pressure : unsigned char {
    memory, ///< what a connection has received was dropped, because memory was short
    places, ///< a connection was closed, because another one needed its place
    descriptors ///< no connection could be accepted, because the process had no descriptor left
};

std::string_view toString(pressure);

/// A connection as the budget sees it.
class budgeted_connection {
public:
    /// Drops what was received of requests that no handler has, and tells the client so where that is possible.
    virtual void dropReceived() = 0;
    /// Closes the connection at once. Only called while it is waiting.
    virtual void giveUpPlace() = 0;

protected:
    ~budgeted_connection() = default;
};

/// Connections without a request in progress, in the order in which they are closed when places are short.
class waiting_connections {
public:
    enum class rank : unsigned char {
        closing, ///< the last response is complete; only the client's close is missing
        unused, ///< no whole request has come
        used, ///< a request has been answered
        unread ///< the client has not read all of the last response yet
    };

    void set(budgeted_connection& connection, rank first, instant since);
    void erase(budgeted_connection& connection);
    /// The one that goes first: by rank, then the one that has waited longest. Null if there is none.
    budgeted_connection* first() const { return m_order.empty() ? nullptr : m_order.begin()->connection; }

private:
    struct place {
        rank first;
        instant since;
        budgeted_connection* connection;
        auto operator<=>(const place&) const = default;
    };
    std::set<place> m_order;
    std::unordered_map<budgeted_connection*, place> m_places; // the same by connection
};

/// The account of a process. It only decides; connections act. What was received and not passed to a handler can be
/// let go; what handlers and responses hold is counted until it ends.
class client_budget {
public:
    explicit client_budget(const client_budget_limits& limits = {});

    void setLimits(const client_budget_limits& limits) { m_limits = limits; }
    /// Called each time something was let go, with the bytes that it held.
    std::function<void(pressure, std::size_t bytes)> onLetGo = [](pressure, std::size_t) {};

    /// Replaces what the connection holds of requests that no handler has.
    void setReceived(budgeted_connection& connection, std::size_t bytes);
    /// Adds to what handlers and responses hold, or subtracts from it.
    void addKept(std::int64_t bytes) { m_kept += static_cast<std::uint64_t>(bytes); }
    std::uint64_t held() const { return m_received.sum() + m_kept; }
    /// Lets others go, those that hold most first, until what the connection holds fits. Returns false if it holds
    /// most itself; then it has to go.
    bool makeRoom(budgeted_connection& connection);

    int connections() const { return m_connections; }
    bool hasPlace() const { return m_connections < m_limits.connections; }
    void opened() { ++m_connections; }
    void closed() { --m_connections; }
    waiting_connections& waiting() { return m_waiting; }
    /// Closes the connection that goes first. Returns false if all connections have requests in progress.
    bool freePlace(const waiting_connections& among);

private:
    bool fits(std::size_t received) const;

    client_budget_limits m_limits;
    byte_ledger m_received;
    std::unordered_map<const void*, budgeted_connection*> m_receiving; // by key of m_received
    std::uint64_t m_kept = 0;
    int m_connections = 0;
    waiting_connections m_waiting;
};

/// Bytes that are counted as kept for as long as this object lives.
class budget_charge {
public:
    budget_charge() = default;
    budget_charge(std::shared_ptr<client_budget> budget, std::size_t bytes);
    ~budget_charge() { set(0); }
    budget_charge(const budget_charge&) = delete;
    budget_charge& operator=(const budget_charge&) = delete;
    budget_charge(budget_charge&& other) noexcept;
    budget_charge& operator=(budget_charge&& other) noexcept;

    void set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }
    /// Moves a part of what is counted, or all if it is less, to a charge of its own.
    budget_charge split(std::size_t bytes);

private:
    std::shared_ptr<client_budget> m_budget; // null: nothing is counted
    std::size_t m_bytes = 0;
};

}
