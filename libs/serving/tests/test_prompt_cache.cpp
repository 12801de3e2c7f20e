// Tests which parts of prompts engines are expected to have cached.
#include "serving_fixture.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

constexpr target_id engine { 3 };

prompt chained(std::initializer_list<prompt_part> parts)
{
    prompt text;
    for (const auto& part : parts) {
        text.parts.push_back(part);
        text.inputTokens += part.tokens;
    }
    return text;
}

}

TEST_CASE("test_parts_count_only_if_all_before_them_are_kept")
{
    prompt_cache_map caches;
    const auto text = chained({ { 1, 2000 }, { 2, 3000 }, { 9, 500 } });
    caches.applyEvents(engine, { { 2, 3000 } });
    CHECK(caches.reusableTokens(engine, text) == 0);
    caches.applyEvents(engine, { { 1, 2000 } });
    CHECK(caches.reusableTokens(engine, text) == 5000);
    caches.applyEvents(engine, { { 1, 1200 } });
    CHECK(caches.reusableTokens(engine, text) == 1200);
    caches.applyEvents(engine, { { 1, 0 } });
    CHECK(caches.reusableTokens(engine, text) == 0);
}

TEST_CASE("test_pending_parts_cannot_be_fetched")
{
    // A prompt is sent to a busy engine. Before it is prefilled there, a second engine is asked to fetch the prefix
    // from the first one and finds nothing. If pending parts counted as cached, engines would prefill a prefix again
    // although a source was named.
    prompt_cache_map caches;
    const auto text = chained({ { 1, 2000 }, { 9, 500 } });
    caches.addPendingPrompt(engine, text);
    CHECK(caches.reusableTokens(engine, text) == 2000);
    CHECK(caches.fetchableTokens(engine, text) == 0);
    caches.markCached(engine, text);
    CHECK(caches.fetchableTokens(engine, text) == 2000);
    caches.addPendingPrompt(engine, text);
    CHECK(caches.fetchableTokens(engine, text) == 2000);
    caches.forget(engine);
    CHECK(caches.reusableTokens(engine, text) == 0);
}

TEST_CASE("test_small_parts_are_not_followed_and_do_not_break_the_chain")
{
    prompt_cache_map caches;
    const auto text = chained({ { 1, 50 }, { 2, 3000 }, { 9, 500 } });
    caches.markCached(engine, text);
    CHECK(caches.reusableTokens(engine, text) == 3000);
}

// Guards against parts of prompts that callers name and that are kept for ever, since no engine ever reads them.
TEST_CASE("test_pending_parts_of_an_engine_are_bounded")
{
    prompt_cache_map caches;
    const auto real = chained({ { 1, 2000 }, { 9, 500 } });
    caches.markCached(engine, real);
    constexpr std::uint64_t named = 3 * prompt_cache_map::maxPendingParts;
    for (std::uint64_t id = 100; id < 100 + named; ++id)
        caches.addPendingPrompt(engine, chained({ { id, 600 }, { 9, 500 } }));
    std::size_t known = 0;
    for (std::uint64_t id = 100; id < 100 + named; ++id)
        known += caches.reusableTokens(engine, chained({ { id, 600 }, { 9, 500 } })) > 0;
    CHECK(known == prompt_cache_map::maxPendingParts);
    CHECK(caches.reusableTokens(engine, real) == 2000);
    CHECK(caches.reusableTokens(engine, chained({ { 99 + named, 600 }, { 9, 500 } })) == 600);
}
