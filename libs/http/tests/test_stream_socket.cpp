// Tests what a connection holds for a peer that reads more slowly than it is sent to.
#include "../src/stream_socket.h"
#include "http_fixture.h"

#include <array>
#include <sys/socket.h>
#include <unistd.h>

using namespace tamarack;
using namespace tamarack::tests;

namespace {

struct silent_listener : detail::stream_listener {
    void onReadable() override { }
    void onEnded(detail::stream_end) override { }
};

}

TEST_CASE("test_sent_bytes_are_not_held_for_a_peer_that_never_catches_up")
{
    // Guards against an answer that is held whole because its caller always has some of it still to read.
    std::array<int, 2> ends {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    silent_listener listener;
    detail::stream_socket socket(ends[0], listener);
    constexpr std::size_t partBytes = 64 * 1024;
    constexpr std::size_t maxLag = 8 * partBytes;
    const std::string part(partBytes, 'x');
    std::string received(partBytes, '\0');
    std::size_t written = 0;
    std::size_t most = 0;
    bool isDone = false;
    QTimer turn;
    QObject::connect(&turn, &QTimer::timeout, [&] {
        while (socket.bytesQueued() < maxLag) {
            socket.write(part);
            written += partBytes;
        }
        most = std::max(most, socket.bytesHeld());
        CHECK(recv(ends[1], received.data(), received.size(), MSG_DONTWAIT) > 0);
        isDone = written > 100 * partBytes;
    });
    turn.start(0);
    spin(isDone);
    CHECK(most <= 3 * maxLag);
    close(ends[1]);
}

TEST_CASE("test_memory_for_sending_is_freed_when_all_is_sent")
{
    // Guards against connections that keep the memory of their longest queue, which nothing counts, until they are
    // closed.
    std::array<int, 2> ends {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    silent_listener listener;
    detail::stream_socket socket(ends[0], listener);
    constexpr std::size_t bytes = 2'000'000;
    socket.write(std::string(bytes, 'x'));
    CHECK(socket.bytesAllocated() >= socket.bytesQueued());
    CHECK(socket.bytesQueued() > 0);
    std::string received(bytes, '\0');
    bool isEmpty = false;
    QTimer turn;
    QObject::connect(&turn, &QTimer::timeout, [&] {
        (void)recv(ends[1], received.data(), received.size(), MSG_DONTWAIT);
        isEmpty = socket.bytesQueued() == 0;
    });
    turn.start(0);
    spin(isEmpty);
    CHECK(socket.bytesAllocated() == 0);
    close(ends[1]);
}
