// Implements blocking reads of and appends to the log.
#include "log_reader.h"

#include "base/clock.h"
#include "platform/record_codec.h"

#include <QEventLoop>
#include <unistd.h>

namespace tamarack::ctl {

namespace {
    constexpr duration timeout = std::chrono::seconds(5);
}

log_reader::log_reader(const std::string& logAddress, const std::string& stream)
    : m_client(parseEndpoint(logAddress), stream, timeout)
    , m_self { "tamarackctl-" + std::to_string(getpid()), static_cast<std::uint64_t>(wallMilliseconds()) }
    , m_follower([this](const log_record& record, verdict v) {
        // The log client may have appended a record twice; only the first copy can be valid.
        if (record.origin.writer == m_self)
            m_verdicts.emplace(record.origin.sequence, v);
    })
{
}

bool log_reader::readToEnd()
{
    for (;;) {
        QEventLoop loop;
        std::optional<log_page> page;
        m_client.read(m_follower.readFrom().value, [&](std::optional<log_page> answer) {
            page = std::move(answer);
            loop.quit();
        });
        loop.exec();
        if (!page)
            return false;
        decoded_page decoded { { page->first }, { page->end }, {} };
        for (const auto& entry : page->entries)
            decoded.items.push_back({ { entry.offset }, decodeRecord({ entry.offset }, entry.data) });
        m_follower.applyPage(decoded);
        if (page->entries.empty() || page->entries.back().offset + 1 >= page->end)
            return true;
    }
}

bool log_reader::readState() { return readToEnd() && !m_follower.hasGap(); }

std::string log_reader::failureReason() const
{
    if (m_follower.hasGap())
        return "the log's beginning has expired and no snapshot follows yet (the nodes write one every "
               "snapshot_interval)";
    return "the log does not answer";
}

std::optional<std::int64_t> log_reader::append(const record_body& body)
{
    QEventLoop loop;
    std::optional<std::int64_t> offset;
    m_client.append(encodeRecord({ m_self, ++m_sequence }, body), [&](std::optional<std::int64_t> answer) {
        offset = answer;
        loop.quit();
    });
    loop.exec();
    return offset;
}

std::optional<verdict> log_reader::verdictOn(std::uint64_t sequence) const
{
    const auto found = m_verdicts.find(sequence);
    if (found == m_verdicts.end())
        return std::nullopt;
    return found->second;
}

}
