// Fakes of the gateway's interfaces to callers, targets and the store, controlled by the tests.
#pragma once

#include "gateway/gateway.h"
#include "observe/logger.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

namespace tamarack::tests {

/// Runs the event loop until the condition holds. Returns false after 20 s.
inline bool spinUntil(const std::function<bool()>& condition)
{
    const instant end = boot_clock::now() + std::chrono::seconds(20);
    while (!condition() && boot_clock::now() < end) {
        QEventLoop loop;
        QTimer::singleShot(5, &loop, &QEventLoop::quit);
        loop.exec();
    }
    return condition();
}

/// Options of a logger that writes only errors, to standard error rather than the tests' standard output.
inline logger_options quietLog()
{
    logger_options out;
    out.lowest = log_level::error;
    out.descriptor = 2;
    return out;
}

/// Records every call, which the test completes by invoking its handler.
class fake_store : public keyed_log {
public:
    struct call {
        std::string what; ///< name of the method
        store_topic topic = store_topic::configuration;
        std::int64_t from = 0;
        duration wait = duration::zero();
        std::string key;
        store_handler<newest_page> onNewest;
        store_handler<record_page> onRead;
        store_handler<std::int64_t> onAppend;
        store_handler<placed_append> onAppendAt;
    };

    void newest(
        store_topic topic, const std::string& after, duration idleTimeout, store_handler<newest_page> done) override
    {
        calls.push_back({ "newest", topic, 0, idleTimeout, after, std::move(done), nullptr, nullptr, nullptr });
    }
    void read(store_topic topic, std::int64_t from, duration wait, store_handler<record_page> done) override
    {
        calls.push_back({ "read", topic, from, wait, {}, nullptr, std::move(done), nullptr, nullptr });
    }
    void append(
        store_topic topic, const std::string& key, const std::string&, store_handler<std::int64_t> done) override
    {
        calls.push_back({ "append", topic, 0, {}, key, nullptr, nullptr, std::move(done), nullptr });
    }
    void appendAt(store_topic topic, std::int64_t at, const std::string& key, const std::string& value,
        store_handler<placed_append> done) override
    {
        calls.push_back(
            { "appendAt", topic, at, {}, key.empty() ? value : key, nullptr, nullptr, nullptr, std::move(done) });
    }

    std::size_t count(const std::string& what, store_topic topic) const
    {
        return static_cast<std::size_t>(std::count_if(
            calls.begin(), calls.end(), [&](const call& item) { return item.what == what && item.topic == topic; }));
    }

    std::vector<call> calls;
};

/// Records are `service/sequence[/draining][@birth]` for targets and a version number for the configuration.
class fake_decoder : public record_decoder {
public:
    bool isConfiguration(std::string_view key) const override { return key == "configuration"; }
    std::variant<std::shared_ptr<const serving::serving_configuration>, record_fault> decodeConfiguration(
        const std::string& value) const override
    {
        const auto version = parseNumber(value);
        if (!version)
            return record_fault { "version", "is not a number" };
        return std::make_shared<const serving::serving_configuration>(*version, std::vector<serving::route_rule> {},
            std::vector<serving::service_profile> {}, serving::caller_limits {});
    }
    std::variant<serving::target_record, record_fault> decodeTarget(
        std::string_view key, const std::string& value) const override
    {
        serving::target_record out;
        out.name = std::string(key);
        out.service = value.substr(0, value.find('/'));
        out.address = "10.0.0.1:80";
        out.isDraining = value.find("/draining") != std::string::npos;
        if (const auto at = value.find('@'); at != std::string::npos)
            out.bornAt = parseNumber(value.substr(at + 1)).value_or(0);
        const auto sequence = parseNumber(value.substr(value.find('/') + 1, 1));
        if (!sequence)
            return record_fault { "sequence", "is not a number" };
        out.sequence = *sequence;
        return out;
    }
};

class fake_callers : public caller_protocol {
public:
    std::variant<caller_request, request_fault> decode(const http_request&) const override { return caller_request {}; }
    void removeCredentials(http_request&) const override { }
    http_response refusal(error_kind, std::string_view, duration) const override { return {}; }
    std::optional<entry_query> decodeEntryQuery(const http_request&) const override { return {}; }
    http_response entries(const entry_answer&) const override { return {}; }
    bool isReadinessProbe(const http_request&) const override { return false; }
};

class fake_duties : public duty_protocol {
public:
    http_request reportUsage(const duty_authority& authority, const usage_statement& usage) const override
    {
        return { "POST", "/usage/" + std::to_string(usage.window) + "/" + std::to_string(authority.fencingNumber), {},
            {} };
    }
    http_request orderInstances(const duty_authority& authority, const instance_order& order) const override
    {
        return { "POST",
            "/instances/" + order.availabilityZone + "/" + std::to_string(order.desired) + (order.isSpot ? "s" : "r")
                + "/" + std::to_string(authority.fencingNumber),
            {}, {} };
    }
    duty_answer decodeAnswer(int status) const override
    {
        return status == 200 ? duty_answer::accepted : status == 409 ? duty_answer::unavailable : duty_answer::refused;
    }
};

/// An answer with the header `leaving` declares that its target leaves.
class fake_targets : public target_protocol {
public:
    http_request attempt(const http_request& fromCaller, const attempt_spec&) const override { return fromCaller; }
    bool answers(const http_response_head&, std::string_view) const override { return true; }
    target_answer decode(const http_response_head& head) const override
    {
        target_answer out;
        out.isLeaving = head.headers.has("leaving");
        return out;
    }
    std::string decodePrefill(std::string_view) const override { return {}; }
    http_request releaseCache(std::string_view, std::string_view) const override { return {}; }
    http_request cacheEvents(std::uint64_t, duration, std::string_view) const override { return {}; }
    std::optional<cache_report> decodeCacheEvents(std::string_view) const override { return {}; }
    http_request cacheList(std::string_view) const override { return {}; }
    std::optional<cache_report> decodeCacheList(std::string_view) const override { return {}; }
    http_request roleReport(std::string_view) const override { return {}; }
    std::optional<role_report> decodeRoleReport(std::string_view) const override { return {}; }
    http_request orderRole(const role_order&) const override { return {}; }
    order_answer decodeOrderAnswer(int) const override { return order_answer::refused; }
};

}
