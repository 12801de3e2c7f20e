// One call after the other.
#include "record_feed.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// For the next bytes of a page. The store answers within 4 ms, and within a quarter of a second when it is slow.
    constexpr duration usualPatience = 700ms;
    /// 300 nodes that read 3,000 targets at once have the store's 80 MB a second busy for 4.3 s.
    constexpr duration longestPatience = 6s;

}

std::string_view toString(store_error error)
{
    switch (error) {
    case store_error::unreachable:
        return "unreachable";
    case store_error::refused:
        return "refused";
    case store_error::expired:
        return "expired";
    }
    return "unknown";
}

record_feed::record_feed(keyed_log& store, feed_options options, handlers on)
    : m_store(store)
    , m_options(options)
    , m_on(std::move(on))
    , m_retries(options.retryPause, options.longestRetryPause)
    , m_patience(usualPatience)
{
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, [this] { readOn(m_options.wait); });
}

void record_feed::again(duration pause) { m_timer.start(std::chrono::duration_cast<std::chrono::milliseconds>(pause)); }

void record_feed::startAfter(duration wait)
{
    if (m_call == 0)
        again(wait);
}

void record_feed::stop()
{
    m_isStopped = true;
    ++m_call;
    m_timer.stop();
}

// What goes wrong without looking at the outstanding call: a large configuration takes a second over a narrow link,
// each peer that names it has it asked for again, and no answer is waited for to its end.
void record_feed::hurry()
{
    if (m_isStopped)
        return;
    if (m_isAnswerDue) {
        m_isHurried = true;
        return;
    }
    m_timer.stop();
    readOn(duration::zero());
}

void record_feed::skipTo(std::int64_t next)
{
    if (m_next < 0 && !m_isAnswerDue)
        m_next = next;
}

void record_feed::deferRetry(duration pause)
{
    if (m_reach != serving::store_reach::lost || m_isAnswerDue || m_isStopped || m_isRetryDeferred)
        return;
    m_isRetryDeferred = true;
    again(pause);
}

void record_feed::readOn(duration wait)
{
    if (m_next < 0)
        return readNewest();
    const auto call = ++m_call;
    m_askedAt = boot_clock::now();
    m_askedWait = wait;
    m_isAnswerDue = wait == duration::zero();
    m_store.read(m_options.topic, m_next, wait, [this, call](store_result<record_page> result) {
        if (call == m_call)
            onPage(result);
    });
}

void record_feed::startOver()
{
    m_next = -1;
    m_snapshot.clear();
    m_snapshotTo.clear();
    m_snapshotEnd = -1;
    m_patience = usualPatience;
}

void record_feed::readNewest()
{
    const auto call = ++m_call;
    m_askedAt = boot_clock::now();
    if (m_snapshotEnd < 0)
        m_snapshotAskedAt = m_askedAt;
    m_isAnswerDue = true;
    m_store.newest(m_options.topic, m_snapshotTo, m_patience, [this, call](store_result<newest_page> result) {
        if (call == m_call)
            onNewest(result);
    });
}

// What goes wrong otherwise: 300 nodes that start at once before 3,000 targets wait for a page for longer than for one
// that never comes; each gives up and begins with the first page again, and the store is busy with answers that
// nobody waits for. So a page that failed is asked for again by itself, and waited for twice as long.
void record_feed::onNewest(const store_result<newest_page>& result)
{
    m_isAnswerDue = false;
    if (const auto* error = std::get_if<store_error>(&result)) {
        m_patience = std::min(2 * m_patience, longestPatience);
        return failed(*error);
    }
    const auto& page = std::get<newest_page>(result);
    reached();
    // Pages are no snapshot: reading goes on from the end that the first one told, and what was in a later page comes
    // once more.
    if (m_snapshotEnd < 0)
        m_snapshotEnd = page.end;
    m_snapshot.insert(m_snapshot.end(), page.records.begin(), page.records.end());
    if (page.hasMore && !page.records.empty()) {
        m_snapshotTo = page.records.back().key;
        return readNewest();
    }
    const auto snapshot = std::move(m_snapshot);
    const auto end = m_snapshotEnd;
    startOver();
    m_next = end;
    m_freshAt = m_snapshotAskedAt;
    m_on.onSnapshot(snapshot);
    m_on.onComplete();
    pause();
}

void record_feed::pause() { again(std::exchange(m_isHurried, false) ? duration::zero() : m_options.pause); }

void record_feed::onPage(const store_result<record_page>& result)
{
    m_isAnswerDue = false;
    if (const auto* error = std::get_if<store_error>(&result)) {
        if (*error == store_error::expired)
            startOver(); // the records between are lost; the newest of each key say all that still matters
        return failed(*error);
    }
    const auto& page = std::get<record_page>(result);
    reached();
    m_next = std::max(m_next, page.next);
    if (!page.records.empty())
        m_on.onRecords(page.records);
    if (page.next < page.end)
        return again(duration::zero());
    // An empty answer to a waiting read means that nothing was written before the wait expired.
    m_freshAt = page.records.empty() ? std::min(m_askedAt + m_askedWait, boot_clock::now()) : m_askedAt;
    m_on.onComplete();
    pause();
}

void record_feed::failed(store_error error)
{
    if (error == store_error::expired)
        return again(duration::zero());
    m_reachUpdatedAt = boot_clock::now();
    m_isRetryDeferred = false;
    if (m_reach != serving::store_reach::lost) {
        m_reach = serving::store_reach::lost;
        m_on.onReach(false, toString(error));
    }
    again(m_retries.nextDelay());
}

void record_feed::reached()
{
    m_reachedAt = m_reachUpdatedAt = boot_clock::now();
    m_retries.succeeded();
    if (m_reach == serving::store_reach::reached)
        return;
    m_reach = serving::store_reach::reached;
    m_on.onReach(true, {});
}

}
