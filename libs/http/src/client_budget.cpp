// Implements the account of what is held for clients.
#include "http/client_budget.h"

#include <algorithm>
#include <array>
#include <utility>

namespace tamarack {

std::string_view toString(pressure kind)
{
    constexpr std::array<std::string_view, 3> names { "memory", "places", "descriptors" };
    return names[static_cast<std::size_t>(kind)];
}

void waiting_connections::set(budgeted_connection& connection, rank first, instant since)
{
    erase(connection);
    const place added { first, since, &connection };
    m_order.insert(added);
    m_places.insert_or_assign(&connection, added);
}

void waiting_connections::erase(budgeted_connection& connection)
{
    const auto known = m_places.find(&connection);
    if (known == m_places.end())
        return;
    m_order.erase(known->second);
    m_places.erase(known);
}

client_budget::client_budget(const client_budget_limits& limits)
    : m_limits(limits)
{
}

void client_budget::setReceived(budgeted_connection& connection, std::size_t bytes)
{
    m_received.update(&connection, bytes);
    if (bytes == 0)
        m_receiving.erase(&connection);
    else
        m_receiving[&connection] = &connection;
}

bool client_budget::fits(std::size_t received) const
{
    const auto reserved = received <= m_limits.smallBytes ? m_limits.reservedBytes : 0;
    return held() <= m_limits.bytes + reserved;
}

bool client_budget::makeRoom(budgeted_connection& connection)
{
    const auto own = m_received.of(&connection);
    while (own > 0 && !fits(own)) {
        auto* largest = m_receiving.at(m_received.largest());
        onLetGo(pressure::memory, m_received.heldByLargest());
        if (largest == &connection)
            return false;
        largest->dropReceived();
        setReceived(*largest, 0);
    }
    return true;
}

bool client_budget::freePlace(const waiting_connections& among)
{
    auto* first = among.first();
    if (!first)
        return false;
    onLetGo(pressure::places, m_received.of(first));
    first->giveUpPlace();
    return true;
}

budget_charge::budget_charge(std::shared_ptr<client_budget> budget, std::size_t bytes)
    : m_budget(std::move(budget))
{
    set(bytes);
}

budget_charge::budget_charge(budget_charge&& other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

budget_charge& budget_charge::operator=(budget_charge&& other) noexcept
{
    set(0);
    m_budget = std::move(other.m_budget);
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

budget_charge budget_charge::split(std::size_t bytes)
{
    budget_charge out;
    out.m_budget = m_budget;
    out.m_bytes = std::min(bytes, m_bytes);
    m_bytes -= out.m_bytes;
    return out;
}

void budget_charge::set(std::size_t bytes)
{
    if (m_budget)
        m_budget->addKept(static_cast<std::int64_t>(bytes) - static_cast<std::int64_t>(m_bytes));
    m_bytes = m_budget ? bytes : 0;
}

}
