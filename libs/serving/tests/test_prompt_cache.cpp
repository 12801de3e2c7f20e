// What engines are thought to keep.
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

TEST_CASE("test_what_is_still_to_be_read_cannot_be_fetched")
{
    // Symptom: engines read a beginning again although another one was named to fetch it from.
    // Sequence: a prompt is sent to a busy engine; before its turn comes, a second engine is told to fetch the
    // beginning there, and finds nothing. Cause: what was sent to an engine is taken for what it has.
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
