// Encodes statements as JSON.
#include "duties/duty_statement.h"

#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    using nlohmann::json;

    constexpr int recordFormat = 1;

    json encode(const usage_statement& statement)
    {
        return { { "window", statement.window }, { "counts", statement.counts } };
    }

    json encode(const instance_statement& statement)
    {
        json orders = json::array();
        for (const auto& order : statement.orders)
            orders.push_back({ { "service", order.service }, { "zone", order.availabilityZone },
                { "spot", order.isSpot }, { "desired", order.desired }, { "observed", order.isObserved } });
        return { { "orders", orders } };
    }

    usage_statement decodeUsage(const json& body)
    {
        usage_statement out { body.at("window").get<std::int64_t>(), {} };
        for (const auto& [account, requests] : body.at("counts").items())
            out.counts[account] = requests.get_ref<const json::number_unsigned_t&>();
        return out;
    }

    instance_statement decodeInstances(const json& body)
    {
        instance_statement out;
        for (const auto& order : body.at("orders"))
            out.orders.push_back({ order.at("service").get<std::string>(), order.at("zone").get<std::string>(),
                order.at("spot").get<bool>(), order.at("desired").get<int>(), order.value("observed", false) });
        return out;
    }

}

std::string dutyKey(const duty_statement& statement)
{
    const auto* usage = std::get_if<usage_statement>(&statement);
    return usage ? "usage/" + std::to_string(usage->window % keptUsageStatements) : "instances";
}

std::string encodeDutyRecord(const duty_record& record)
{
    json out { { "format", recordFormat }, { "holder", record.holder }, { "process", record.process } };
    if (const auto* usage = std::get_if<usage_statement>(&record.statement))
        out["usage"] = encode(*usage);
    else
        out["instances"] = encode(std::get<instance_statement>(record.statement));
    return out.dump();
}

std::optional<duty_record> decodeDutyRecord(std::string_view text)
{
    try {
        const auto document = json::parse(text);
        if (document.at("format").get<int>() > recordFormat)
            return std::nullopt;
        duty_record out { document.at("holder").get<std::string>(), document.at("process").get<std::int64_t>(), {} };
        if (document.contains("usage"))
            out.statement = decodeUsage(document.at("usage"));
        else
            out.statement = decodeInstances(document.at("instances"));
        return out;
    } catch (const json::exception&) {
        return std::nullopt; // the caller treats it as a record of an unknown holder
    }
}

}
