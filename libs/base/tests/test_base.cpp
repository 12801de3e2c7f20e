// Tests of IDs, error kinds, hashes, the random source and the boot clock.
#include "base/error_kind.h"
#include "base/hash.h"
#include "base/ids.h"
#include "base/random_source.h"

#include <catch2/catch.hpp>
#include <ctime>
#include <set>

using namespace tamarack;

TEST_CASE("test_transient_errors_have_a_retry_delay")
{
    std::set<std::string_view> types;
    for (const auto& row : errorAnswers()) {
        CHECK(types.insert(row.type).second);
        CHECK(row.status >= 400);
        CHECK_FALSE(row.title.empty());
        // A transient error is one whose request was not executed and may be retried; it must have a retry delay.
        const bool isTransient = row.status == 503 || row.status == 429;
        CHECK(isTransient == (row.executed == ran::no && row.status >= 429 && row.status != 431 && row.status != 502));
        if (isTransient)
            CHECK(row.retryAfter > duration::zero());
    }
}

TEST_CASE("test_instance_text_round_trip")
{
    const instance_id id { "entry@odd", 42 };
    CHECK(parseInstance(toString(id)) == id);
    for (const char* bad : { "", "@1", "a", "a@", "a@x", "a@1 " })
        CHECK_FALSE(parseInstance(bad).isValid());
}

TEST_CASE("test_hashes_are_the_same_on_every_node")
{
    // If this value changed, two software versions in one deployment would disagree on cache monitors and leases.
    CHECK(stableHash("tamarack") == 0x149e08788765422bULL);
}

TEST_CASE("test_random_source_repeats_for_its_seed")
{
    random_source a(5);
    random_source b(5);
    for (int i = 0; i < 100; ++i)
        CHECK(a.next() == b.next());
    CHECK(a.unit() < 1);
}

TEST_CASE("test_boot_clock_reads_clock_boottime")
{
    // Guards against two concurrent lease holders after a clock was set or a VM was suspended. This happens with a
    // clock that jumps, or that stops while the VM is suspended. CLOCK_BOOTTIME does neither.
    const auto read = [] {
        timespec now {};
        clock_gettime(CLOCK_BOOTTIME, &now);
        const auto whole = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
        return std::chrono::duration_cast<duration>(whole);
    };
    const auto before = read();
    const auto now = boot_clock::now().time_since_epoch();
    CHECK(before <= now);
    CHECK(now <= read());
}
