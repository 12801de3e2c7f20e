// Tests the orders for instances against a platform that carries them out.
#include "scaling/instance_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr duration bootTime = 4s;

serving::serving_configuration configurationWith(std::optional<double> spotPrice, int max = 76)
{
    serving::service_profile service;
    service.name = "engines";
    service.scaling = serving::instance_scaling { 1, max, bootTime, spotPrice, {} };
    return { 1, {}, { service }, {} };
}

/// Lists ordered instances after the boot time and unlists what is let go at once.
class instance_world {
public:
    explicit instance_world(serving::serving_configuration configuration)
        : m_configuration(std::move(configuration))
        , m_plan(std::make_unique<instance_plan>(m_fleet))
    {
    }
    instance_world(const instance_world&) = delete;

    /// Lists regular instances that were there from the start.
    void addInitial(const std::string& zone, int count) { list({ zone, false }, count); }
    void reclaim(const std::string& zone) { unlist({ zone, true }, m_instances[{ zone, true }].size()); }
    /// Another node makes the plan from now on.
    void replaceHolder() { m_plan = std::make_unique<instance_plan>(m_fleet); }

    void run(duration length)
    {
        for (const auto end = m_now + length; m_now < end; m_now += 100ms) {
            m_inForce = m_plan->decide(m_configuration, m_inForce, instant(1h) + m_now);
            for (const auto& order : m_inForce) {
                if (!order.isObserved)
                    carryOut(order);
            }
            for (auto& boot : m_boots) {
                if (m_now >= boot.due)
                    list(boot.kind, std::exchange(boot.count, 0));
            }
            fewestListed = std::min(fewestListed, listed());
        }
    }

    const serving::fleet_table& fleet() const { return m_fleet; }
    const std::vector<instance_order>& inForce() const { return m_inForce; }
    int listed() const { return static_cast<int>(m_fleet.countListed()); }
    int count(const std::string& zone, bool isSpot) const
    {
        const auto found = m_instances.find({ zone, isSpot });
        return found == m_instances.end() ? 0 : static_cast<int>(found->second.size());
    }

    int fewestListed = 1'000'000;
    int mostInZone = 0;

private:
    using kind = std::pair<std::string, bool>; // availability zone, whether spot
    struct boot {
        duration due;
        instance_world::kind kind;
        int count = 0;
    };

    void list(const kind& which, int count)
    {
        for (; count > 0; --count) {
            serving::target_record record;
            record.name = which.first + "-" + std::to_string(++m_names);
            record.service = "engines";
            record.address = "10.0.0.1:80";
            record.availabilityZone = which.first;
            m_fleet.upsert(record);
            m_instances[which].push_back(record.name);
        }
    }

    void unlist(const kind& which, std::size_t count)
    {
        for (auto& names = m_instances[which]; count > 0; --count) {
            m_fleet.remove(names.back());
            names.pop_back();
        }
    }

    void carryOut(const instance_order& order)
    {
        const kind which { order.availabilityZone, order.isSpot };
        int booting = 0;
        for (const auto& item : m_boots)
            booting += item.kind == which ? item.count : 0;
        const int existing = static_cast<int>(m_instances[which].size());
        if (order.desired < existing)
            unlist(which, static_cast<std::size_t>(existing - order.desired));
        else if (order.desired > existing + booting)
            m_boots.push_back({ m_now + bootTime, which, order.desired - existing - booting });
        int ordered = order.desired;
        if (order.isSpot)
            ordered += static_cast<int>(m_instances[{ order.availabilityZone, false }].size());
        mostInZone = std::max(mostInZone, ordered);
    }

    serving::serving_configuration m_configuration;
    serving::fleet_table m_fleet { "a" };
    std::unique_ptr<instance_plan> m_plan;
    std::vector<instance_order> m_inForce;
    std::map<kind, std::vector<std::string>> m_instances;
    std::vector<boot> m_boots;
    duration m_now = 0s;
    int m_names = 0;
};

class three_zones : public instance_world {
public:
    explicit three_zones(std::optional<double> spotPrice, int max = 76)
        : instance_world(configurationWith(spotPrice, max))
    {
        for (const char* zone : { "a", "b", "c" })
            addInitial(zone, 38);
    }
};

}

TEST_CASE("test_spot_instances_replace_the_others_with_a_reserve_for_one_zone")
{
    three_zones world(0.22);
    world.run(20s);
    for (const char* zone : { "a", "b", "c" }) {
        CHECK(world.count(zone, false) == 0);
        CHECK(world.count(zone, true) == 57);
    }
    world.reclaim("b");
    CHECK(world.listed() == 114);
}

// Guards against instances that are let go before their replacements take requests.
TEST_CASE("test_the_service_never_has_fewer_instances_while_they_are_replaced")
{
    three_zones world(0.22);
    world.run(20s);
    CHECK(world.fewestListed >= 114);
    CHECK(world.mostInZone <= 76);
}

// Guards against a fleet that is cut down to the part of the target list that a starting node has read.
TEST_CASE("test_instances_that_are_listed_late_are_counted")
{
    instance_world world(configurationWith(0.22));
    for (int i = 0; i < 6; ++i) {
        for (const char* zone : { "a", "b", "c" })
            world.addInitial(zone, 6);
        world.run(600ms);
    }
    world.run(20s);
    CHECK(world.count("a", true) == 54);
    CHECK(world.count("a", false) == 0);
}

TEST_CASE("test_instances_stay_where_spot_ones_are_not_worthwhile")
{
    for (const auto price : { std::optional<double>(), std::optional<double>(0.5) }) {
        three_zones world(price);
        world.run(20s);
        CHECK(world.listed() == 114);
        CHECK(world.count("a", false) == 38);
    }
    instance_world oneZone(configurationWith(0.22));
    oneZone.addInitial("a", 10);
    oneZone.run(20s);
    CHECK(oneZone.count("a", false) == 10);
}

// Guards against a successor that takes a reclaimed zone for a smaller fleet.
TEST_CASE("test_a_new_holder_keeps_the_orders_in_force")
{
    three_zones world(0.22);
    world.run(20s);
    world.reclaim("a");
    world.replaceHolder();
    world.run(20s);
    for (const char* zone : { "a", "b", "c" })
        CHECK(world.count(zone, true) == 57);
    CHECK(world.listed() == 171);
}

TEST_CASE("test_a_holder_that_changes_while_instances_boot_finishes_the_replacement")
{
    three_zones world(0.22);
    world.run(2s);
    world.replaceHolder();
    world.run(20s);
    CHECK(world.count("a", false) == 0);
    CHECK(world.listed() >= 114);
}

// Guards against a successor that takes the few instances that its predecessor had seen for the whole fleet.
TEST_CASE("test_holders_that_change_while_the_list_arrives_let_nothing_go_early")
{
    instance_world world(configurationWith(0.22));
    for (int i = 0; i < 12; ++i) {
        for (const char* zone : { "a", "b", "c" })
            world.addInitial(zone, 3);
        world.run(300ms);
        world.replaceHolder();
    }
    world.fewestListed = world.listed();
    world.run(20s);
    CHECK(world.fewestListed >= 108);
    CHECK(world.count("a", true) >= 38);
    CHECK(world.count("a", false) == 0);
}

// Guards against a node that held the duty early and takes spot instances for regular ones when it holds it again.
TEST_CASE("test_spot_instances_are_never_counted_as_found")
{
    three_zones world(0.22);
    world.run(20s);
    instance_plan former(world.fleet());
    former.decide(configurationWith(0.22), {}, instant(1h));
    const auto again = former.decide(configurationWith(0.22), world.inForce(), instant(2h));
    CHECK(again == world.inForce());
}

// Guards against thousands of changes of the target list at once, which all nodes have to learn.
TEST_CASE("test_a_fleet_of_thousands_is_not_replaced")
{
    instance_world world(configurationWith(0.22, 2000));
    for (const char* zone : { "a", "b", "c" })
        world.addInitial(zone, 1000);
    world.run(20s);
    CHECK(world.listed() == 3000);
    CHECK(world.count("a", true) == 0);
}

TEST_CASE("test_the_greatest_permitted_number_is_kept")
{
    three_zones world(0.22, 40);
    world.run(40s);
    CHECK(world.mostInZone <= 40);
    CHECK(world.listed() >= 114);
}

// Guards against a zone whose instances are let go although one of those that are counted as there is leaving.
TEST_CASE("test_instance_that_declared_to_leave_is_not_counted")
{
    serving::fleet_table fleet("a");
    for (const char* zone : { "a", "b" }) {
        for (int i = 0; i < 3; ++i) {
            serving::target_record record;
            record.name = zone + std::to_string(i);
            record.service = "engines";
            record.availabilityZone = zone;
            record.role = serving::target_role::decode;
            fleet.upsert(record);
        }
    }
    fleet.recordLeaving("a1");
    instance_plan plan(fleet);
    for (const auto& order : plan.decide(configurationWith(0.2), {}, instant(1h))) {
        if (!order.isSpot)
            CHECK(order.desired == (order.availabilityZone == "a" ? 2 : 3));
    }
}
