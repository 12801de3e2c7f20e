// Tests that the readers of settings report every error with its file, line and field.
#include "settings/deployment.h"
#include "settings/node_settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace tamarack;

namespace {

std::string sample(const std::string& name)
{
    std::ifstream stream(std::string(TAMARACK_SOURCE_DIR) + "/deploy/" + name);
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

setting_errors deploymentErrors(const std::string& text)
{
    const auto read = readDeployment(text, "text.json");
    const auto* errors = std::get_if<setting_errors>(&read);
    return errors ? *errors : setting_errors();
}

bool has(const setting_errors& errors, const std::string& field, const std::string& part, int line = 0)
{
    for (const auto& error : errors) {
        if (error.field == field && error.message.find(part) != std::string::npos && (line == 0 || error.line == line))
            return true;
    }
    return false;
}

std::string replaced(std::string text, const std::string& what, const std::string& by)
{
    const auto at = text.find(what);
    REQUIRE(at != std::string::npos);
    return text.replace(at, what.size(), by);
}

}

TEST_CASE("test_sample_texts_are_valid")
{
    for (const char* name : { "vodoslet.json", "ahnenhaus.json" }) {
        const auto errors = deploymentErrors(sample(name));
        INFO(name << (errors.empty() ? "" : toString(errors.front())));
        CHECK(errors.empty());
    }
    CHECK(std::holds_alternative<node_settings>(readNodeSettings(sample("node.example.json"), "n")));
}

TEST_CASE("test_node_settings_list_every_error_with_its_line")
{
    const std::string text = "{\n"
                             "  // a comment\n"
                             "  \"vm\": 5,\n"
                             "  \"region\": \"r\",\n"
                             "  \"availability_zone\": \"z\",\n"
                             "  \"address\": \"not.a.number.example\",\n"
                             "  \"caller_port\": 99999,\n"
                             "  \"peer_port\": 7,\n"
                             "  \"admin_port\": 7,\n"
                             "  \"log_address\": \"127.0.0.1:1\",\n"
                             "  \"colour\": \"blue\",\n"
                             "  \"log_level\": \"loud\"\n"
                             "}\n";
    const auto read = readNodeSettings(text, "node.json");
    REQUIRE(std::holds_alternative<setting_errors>(read));
    const auto& errors = std::get<setting_errors>(read);
    CHECK(has(errors, "vm", "must be a string", 3));
    CHECK(has(errors, "address", "IP address", 6));
    CHECK(has(errors, "caller_port", "at most 65535", 7));
    CHECK(has(errors, "admin_port", "differ from peer_port", 9));
    CHECK(has(errors, "vm_list_address", "is missing"));
    CHECK(has(errors, "colour", "not a known field", 11));
    CHECK(has(errors, "log_level", "one of", 12));
    CHECK(errors.size() == 7);
    CHECK(toString(errors[0]).starts_with("node.json:"));
}

TEST_CASE("test_text_that_is_not_json_says_where")
{
    const auto errors = deploymentErrors("{\n  \"deployment\": \"x\",\n  oops\n}");
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].line == 3);
}

TEST_CASE("test_deployment_errors_across_fields")
{
    const auto good = sample("vodoslet.json");
    struct bad_case {
        const char* what;
        const char* by;
        const char* field;
        const char* message;
    };
    const bad_case cases[] {
        { "\"kosice-a\", \"kosice-b\", \"presov\"", "\"kosice-a\"", "services[0].targets[1].availability_zone",
            "not among" },
        { "\"depends_on\": [\"teren\"]", "\"depends_on\": [\"nobody\"]", "services[0].depends_on[0]", "no service" },
        { "\"depends_on\": [\"teren\"]", "\"depends_on\": [\"jazyk\"]", "services", "cycle among jazyk" },
        { "\"name\": \"jazyk-02\"", "\"name\": \"jazyk-01\"", "services[0].targets[1].name", "another target" },
        { "10.20.1.20:9000", "10.20.1.20", "services[0].targets[0].address", "IP address and a port" },
        { "\"model\": \"jazyk-sumar\",", "", "services[0].model", "is missing" },
        { "\"kind\": \"plain\"", "\"kind\": \"odd\"", "services[1].kind", "engine" },
        { "\"prefill_targets\": 2", "\"prefill_targets\": 40", "services[0].prefill_targets", "exceeds" },
        { "\"urgent_share\": 0.0625", "\"urgent_share\": 0.85", "policy.urgent_share", "at most 0.9" },
        { "\"POST /reports\"", "\"reports\"", "services[1].non_idempotent[0]", "a method and a path" },
        { "\"slots\": 16", "\"slots\": 1.5", "services[0].slots", "whole number" },
        { "\"role_dwell\": 20", "\"role_dwel\": 20", "policy.role_dwel", "not a known field" },
    };
    for (const auto& item : cases) {
        const auto errors = deploymentErrors(replaced(good, item.what, item.by));
        INFO(item.field << ": " << item.message << (errors.empty() ? " no error" : " got " + toString(errors.front())));
        CHECK(has(errors, item.field, item.message));
    }
}

TEST_CASE("test_dependency_order")
{
    const auto read = readDeployment(sample("ahnenhaus.json"), "a");
    std::vector<std::string> cycle;
    const auto order = dependencyOrder(std::get<deployment>(read), cycle);
    CHECK(order == std::vector<std::string> { "ahnen-app", "stammbaum-lm" });
    CHECK(cycle.empty());
}
