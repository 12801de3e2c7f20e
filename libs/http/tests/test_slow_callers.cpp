// Tests what a server holds for all callers that read slowly, and that the others are served meanwhile.
#include "http/unsent_bytes.h"
#include "http_fixture.h"

#include <array>
#include <list>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace tamarack;
using namespace tamarack::tests;

namespace {

constexpr std::size_t partBytes = 64 * 1024;
constexpr std::size_t wholeBytes = 4 * 1024 * 1024;
constexpr std::uint64_t totalBytes = 2 * 1024 * 1024;

/// A caller with a small receive buffer that sends a request and reads only when it is told to.
class idle_reader {
public:
    explicit idle_reader(quint16 port)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int bytes = 4096;
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        REQUIRE(::connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        request();
    }
    ~idle_reader() { ::close(m_descriptor); }
    idle_reader(const idle_reader&) = delete;
    idle_reader& operator=(const idle_reader&) = delete;

    void request()
    {
        const std::string text = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
        ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    /// Reads what has arrived. Returns false once the connection has ended.
    bool read()
    {
        std::array<char, partBytes> buffer;
        const auto count = ::recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return count > 0 || (count < 0 && errno == EAGAIN);
    }

private:
    int m_descriptor;
};

/// Answers `/slow` without end and other requests with `wholeBytes`. A source stops at the queue limit, unless
/// `ignoresLimit` is set, as for responses that are complete when their caller stops reading.
struct busy_server {
    struct source {
        std::shared_ptr<response_writer> writer;
        std::size_t left = 0;
        bool isPaused = false;
    };

    static http_server_limits limits(std::uint64_t total)
    {
        http_server_limits out;
        out.totalUnsentBytes = total;
        return out;
    }

    explicit busy_server(std::uint64_t total, bool ignores = false)
        : ignoresLimit(ignores)
        , server(
              limits(total),
              [this](const http_request& request, std::shared_ptr<response_writer> writer) {
                  const bool isSlow = request.path() == "/slow";
                  writer->onClosed = [this] { ++ended; };
                  if (isSlow)
                      writer->startStream({ 200, {} });
                  else
                      writer->startSized({ 200, {} }, wholeBytes);
                  sources.push_back({ std::move(writer), isSlow ? std::string::npos : wholeBytes });
              },
              [](error_kind, std::string_view) {
                  return http_response { 400, {}, {} };
              },
              {}, [this](std::size_t) { ++cut; })
    {
        REQUIRE(server.listen(QHostAddress::LocalHost, 0));
        QObject::connect(&timer, &QTimer::timeout, [this] { feed(); });
        timer.start(1);
    }

    void feed()
    {
        for (auto& item : sources) {
            auto& writer = *item.writer;
            const auto limit = writer.queueLimit();
            const bool mayResume = !item.isPaused || writer.bytesQueued() == 0;
            item.isPaused = !mayResume;
            while (writer.isOpen() && mayResume && item.left > 0) {
                writer.write(part);
                item.left -= partBytes;
                if (!ignoresLimit && writer.bytesQueued() > limit) {
                    item.isPaused = true;
                    break;
                }
                if (ignoresLimit && writer.bytesQueued() > 4 * unsent_bytes::maxQueue)
                    break;
            }
            if (writer.isOpen() && item.left == 0)
                writer.finish();
        }
        most = std::max(most, server.unsentBytesHeld());
    }

    const std::string part = std::string(partBytes, 'x');
    bool ignoresLimit = false;
    std::list<source> sources;
    std::uint64_t most = 0; ///< held after a turn of the sources
    int ended = 0; ///< responses whose caller's connection ended
    int cut = 0;
    http_server server;
    QTimer timer;
};

void spinFor(int milliseconds)
{
    bool isOver = false;
    QTimer::singleShot(milliseconds, [&] { isOver = true; });
    spin(isOver);
}

}

TEST_CASE("test_queue_limit_falls_while_much_is_held_and_is_never_below_some_events")
{
    // Guards against a few slow callers that use up what is there for all.
    unsent_bytes held;
    CHECK(held.queueLimit() == unsent_bytes::maxQueue);
    held.setTotal(24'000'000);
    CHECK(held.queueLimit() == unsent_bytes::maxQueue);
    std::array<char, 6000> callers {};
    std::size_t before = unsent_bytes::maxQueue;
    for (const char& caller : callers) {
        const auto limit = held.queueLimit();
        CHECK(limit <= before);
        CHECK(limit >= unsent_bytes::minQueue);
        before = limit;
        held.update(&caller, limit);
        if (held.isExceeded())
            break;
    }
    CHECK(before == unsent_bytes::minQueue);
    // Half of the total is left for those that come when the first half is used: 732 of them.
    CHECK(held.held() > 24'000'000);
}

TEST_CASE("test_held_bytes_are_the_sum_over_connections_and_the_largest_is_known")
{
    // Guards against counts that drift, after which callers would be cut for nothing or the bound would not hold.
    unsent_bytes held;
    std::array<char, 8> callers {};
    std::map<const char*, std::size_t> known;
    std::uint64_t random = 1;
    for (int step = 0; step < 5000; ++step) {
        random = random * 6364136223846793005U + 1442695040888963407U;
        const char* caller = &callers[random >> 61];
        const std::size_t bytes = (random >> 40) % 5 == 0 ? 0 : (random >> 33) % 1000;
        held.update(caller, bytes);
        known[caller] = bytes;
        std::uint64_t sum = 0;
        std::size_t most = 0;
        for (const auto& [key, size] : known) {
            sum += size;
            most = std::max(most, size);
        }
        REQUIRE(held.held() == sum);
        REQUIRE(held.heldByLargest() == most);
        if (most > 0)
            REQUIRE(known[static_cast<const char*>(held.largest())] == most);
    }
}

TEST_CASE("test_slow_callers_hold_a_bounded_sum_and_others_are_served")
{
    // Guards against callers that read nothing and take a node's memory in sum, each within its own bound.
    busy_server busy(totalBytes);
    std::list<idle_reader> readers;
    for (int i = 0; i < 40; ++i)
        readers.emplace_back(busy.server.port());
    spinFor(1500);
    // A turn of the sources may add a part for each of them before callers are cut.
    CHECK(busy.most > totalBytes / 2);
    CHECK(busy.most <= 2 * totalBytes);
    CHECK(busy.server.unsentBytesHeld() <= totalBytes);
    http_client client;
    const auto result = fetch(client, { "127.0.0.1", busy.server.port() });
    CHECK(result.isComplete);
    CHECK(result.response.body.size() == wholeBytes);
    CHECK(busy.server.unsentBytesHeld() <= totalBytes);
}

TEST_CASE("test_callers_that_hold_most_are_cut_above_the_total")
{
    // Guards against complete responses, which no source pauses, that wait for slow callers beyond the total.
    busy_server busy(totalBytes, true);
    std::list<idle_reader> readers;
    for (int i = 0; i < 6; ++i)
        readers.emplace_back(busy.server.port());
    spinFor(1000);
    CHECK(busy.cut > 0);
    CHECK(busy.ended == busy.cut);
    CHECK(busy.server.unsentBytesHeld() <= totalBytes);
    // Those that were cut see a connection that ends within the response.
    const auto endsEarly = [](idle_reader& reader) {
        for (int i = 0; i < 10'000; ++i) {
            if (!reader.read())
                return true;
        }
        return false;
    };
    int seen = 0;
    busy.timer.stop();
    for (auto& reader : readers)
        seen += endsEarly(reader);
    CHECK(seen == busy.cut);
}

TEST_CASE("test_nothing_is_held_once_slow_callers_have_read_or_left")
{
    // Guards against held bytes that are still counted after they were sent or their connection has ended.
    busy_server busy(totalBytes);
    {
        std::list<idle_reader> readers;
        for (int i = 0; i < 6; ++i)
            readers.emplace_back(busy.server.port());
        spinFor(500);
        CHECK(busy.server.unsentBytesHeld() > 0);
        for (auto& item : busy.sources)
            item.left = 0;
        bool isRead = false;
        QTimer turn;
        QObject::connect(&turn, &QTimer::timeout, [&] {
            for (auto& reader : readers) {
                for (int i = 0; i < 20; ++i)
                    reader.read();
            }
            isRead = busy.server.unsentBytesHeld() == 0;
        });
        turn.start(0);
        spin(isRead);
        turn.stop();
        readers.emplace_back(busy.server.port());
        spinFor(300);
        CHECK(busy.server.unsentBytesHeld() > 0);
    }
    spinFor(100);
    CHECK(busy.server.unsentBytesHeld() == 0);
}

TEST_CASE("test_complete_responses_that_nobody_reads_are_bounded_on_kept_connections")
{
    // Guards against responses that are complete, so that no flow is left for them, and wait on a connection that goes
    // on.
    constexpr std::size_t responseBytes = 4'000'000;
    int cut = 0;
    std::uint64_t most = 0;
    http_server server(
        busy_server::limits(totalBytes),
        [](const http_request&, const std::shared_ptr<response_writer>& writer) {
            writer->sendWhole({ 200, {}, std::string(responseBytes, 'x') });
        },
        [](error_kind, std::string_view) {
            return http_response { 400, {}, {} };
        },
        {}, [&](std::size_t) { ++cut; });
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    std::list<idle_reader> readers;
    for (int i = 0; i < 8; ++i)
        readers.emplace_back(server.port());
    // Further requests on the same connections are not answered into a growing queue.
    for (int round = 0; round < 20; ++round) {
        for (auto& reader : readers)
            reader.request();
        spinFor(20);
        most = std::max(most, server.unsentBytesHeld());
    }
    CHECK(cut > 0);
    CHECK(server.unsentBytesHeld() <= totalBytes);
    CHECK(most <= totalBytes);
}

TEST_CASE("test_requests_of_a_caller_that_reads_nothing_wait_until_its_queue_is_empty")
{
    // Guards against a caller that sends requests and reads nothing, for which responses would pile up without a bound.
    int requests = 0;
    http_server server(
        busy_server::limits(0),
        [&](const http_request&, const std::shared_ptr<response_writer>& writer) {
            ++requests;
            writer->sendWhole({ 200, {}, std::string(100'000, 'x') });
        },
        [](error_kind, std::string_view) {
            return http_response { 400, {}, {} };
        });
    REQUIRE(server.listen(QHostAddress::LocalHost, 0));
    idle_reader reader(server.port());
    constexpr int sent = 200;
    for (int i = 1; i < sent; ++i)
        reader.request();
    spinFor(500);
    CHECK(requests < sent);
    CHECK(server.unsentBytesHeld() < 4 * unsent_bytes::maxQueue);
    bool areAllServed = false;
    QTimer turn;
    QObject::connect(&turn, &QTimer::timeout, [&] {
        for (int i = 0; i < 20; ++i)
            reader.read();
        areAllServed = requests == sent && server.unsentBytesHeld() == 0;
    });
    turn.start(0);
    spin(areAllServed);
}
