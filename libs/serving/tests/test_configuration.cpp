// Tests the look-up of routes and the selection of services.
#include "serving_fixture.h"

using namespace tamarack;
using namespace tamarack::serving;
using namespace tamarack::serving::tests;

namespace {

serving_configuration withPrefixes(std::initializer_list<const char*> prefixes)
{
    std::vector<route_rule> routes;
    for (const char* prefix : prefixes) {
        auto route = plainRoute(true);
        route.name = route.pathPrefix = prefix;
        routes.push_back(route);
    }
    return { 1, routes, {}, {} };
}

}

TEST_CASE("test_longest_prefix_of_the_host_is_chosen")
{
    const auto configuration = withPrefixes({ "/a/", "/a/b/", "/" });
    struct {
        const char* host;
        const char* path;
        const char* expected;
    } const cases[] {
        { "host", "/a/x", "/a/" },
        { "host", "/a/b/x", "/a/b/" },
        { "host", "/a/b", "/a/" },
        { "host", "/ab/x", "/" },
        { "HOST:8080", "/a/", "/a/" },
        { "other", "/a/x", nullptr },
        { "", "/a/x", nullptr },
    };
    for (const auto& item : cases) {
        INFO(item.host << " " << item.path);
        const auto* route = configuration.findRoute(item.host, item.path);
        REQUIRE((route != nullptr) == (item.expected != nullptr));
        if (route)
            CHECK(route->pathPrefix == item.expected);
    }
}

TEST_CASE("test_split_follows_the_weights_and_is_the_same_everywhere")
{
    auto route = plainRoute(true);
    route.shares = { { "first", 90 }, { "second", 10 }, { "never", 0 } };
    int first = 0;
    constexpr int total = 10'000;
    for (int i = 0; i < total; ++i) {
        const auto id = std::to_string(i);
        const auto& service = chooseService(route, id);
        CHECK(service != "never");
        CHECK(service == chooseService(route, id));
        first += service == "first";
    }
    CHECK(first > 0.88 * total);
    CHECK(first < 0.92 * total);
}
