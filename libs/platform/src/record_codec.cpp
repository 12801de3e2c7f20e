// Implements one encoder and one decoder per record kind; a table maps kind names to decoders.
#include "platform/record_codec.h"

#include <array>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

    using nlohmann::json;

    json toJson(const publication_record& r)
    {
        return { { "base", r.baseVersion }, { "text", r.text }, { "author", r.author } };
    }
    json toJson(const claim_record& r) { return { { "lease", r.lease }, { "previous", r.previous.value } }; }
    json toJson(const renewal_record& r) { return { { "lease", r.lease }, { "term", r.term.value } }; }
    json toJson(const release_record& r) { return { { "lease", r.lease }, { "term", r.term.value } }; }
    json toJson(const order_record& r)
    {
        return { { "lease", r.lease }, { "term", r.term.value }, { "target", r.target },
            { "order", std::string(toString(r.order.kind)) }, { "value", r.order.value },
            { "checks_fencing", r.checksFencing }, { "previous", r.previous.value },
            { "replaces_open", r.replacesOpen }, { "target_incarnation", r.targetIncarnation } };
    }
    json toJson(const order_end_record& r)
    {
        return { { "lease", r.lease }, { "term", r.term.value }, { "target", r.target }, { "ends", r.order.value },
            { "reason", std::string(toString(r.reason)) } };
    }

    json toJson(const lease_state& s)
    {
        return { { "holder", s.holder.isValid() ? toString(s.holder) : "" }, { "term", s.term.value },
            { "last", s.last.value } };
    }
    json toJson(const target_orders& s)
    {
        return { { "last", s.last.value }, { "open", s.isOpen }, { "lease", s.lease }, { "term", s.term.value },
            { "deliverer", toString(s.deliverer) }, { "order", std::string(toString(s.order.kind)) },
            { "value", s.order.value }, { "checks_fencing", s.checksFencing },
            { "target_incarnation", s.targetIncarnation }, { "reissue", s.isReissue } };
    }
    json toJson(const snapshot_record& r)
    {
        json leases = json::object();
        for (const auto& [name, state] : r.data.leases)
            leases[name] = toJson(state);
        json orders = json::object();
        for (const auto& [name, state] : r.data.orders)
            orders[name] = toJson(state);
        const auto& c = r.data.configuration;
        json configuration { { "version", c.version }, { "offset", c.offset.value }, { "text", c.text },
            { "author", c.author }, { "hash", c.hash } };
        return { { "as_of", r.data.asOf.value }, { "configuration", configuration }, { "leases", leases },
            { "orders", orders } };
    }

    log_offset offsetAt(const json& j, const char* name) { return { j.at(name).get<std::int64_t>() }; }

    record_body readPublication(const json& j)
    {
        return publication_record { j.at("base"), j.at("text"), j.at("author") };
    }
    record_body readClaim(const json& j) { return claim_record { j.at("lease"), offsetAt(j, "previous") }; }
    record_body readRenewal(const json& j) { return renewal_record { j.at("lease"), offsetAt(j, "term") }; }
    record_body readRelease(const json& j) { return release_record { j.at("lease"), offsetAt(j, "term") }; }
    record_body readOrder(const json& j)
    {
        const target_order order { parseOrderKind(j.at("order").get<std::string>()), j.at("value") };
        return order_record { j.at("lease"), offsetAt(j, "term"), j.at("target"), order, j.at("checks_fencing"),
            offsetAt(j, "previous"), j.at("replaces_open"), j.at("target_incarnation") };
    }
    record_body readOrderEnd(const json& j)
    {
        const auto reason = parseOrderEnd(j.at("reason").get<std::string>());
        return order_end_record { j.at("lease"), offsetAt(j, "term"), j.at("target"), offsetAt(j, "ends"), reason };
    }

    lease_state readLeaseState(const json& j)
    {
        return { parseInstance(j.at("holder")), offsetAt(j, "term"), offsetAt(j, "last") };
    }
    target_orders readTargetOrders(const json& j)
    {
        const target_order order { parseOrderKind(j.at("order").get<std::string>()), j.at("value") };
        return { offsetAt(j, "last"), j.at("open"), j.at("lease"), offsetAt(j, "term"),
            parseInstance(j.at("deliverer")), order, j.at("checks_fencing"), j.at("target_incarnation"),
            j.at("reissue") };
    }
    record_body readSnapshot(const json& j)
    {
        replicated_data data;
        data.asOf = offsetAt(j, "as_of");
        const auto& c = j.at("configuration");
        data.configuration = { c.at("version"), offsetAt(c, "offset"), c.at("text"), c.at("author"), c.at("hash") };
        for (const auto& [name, state] : j.at("leases").items())
            data.leases[name] = readLeaseState(state);
        for (const auto& [name, state] : j.at("orders").items())
            data.orders[name] = readTargetOrders(state);
        return snapshot_record { std::move(data) };
    }

    struct record_kind {
        const char* name;
        record_body (*read)(const json&);
    };

    // Indexed by the alternative of record_body; the order must match.
    constexpr std::array<record_kind, std::variant_size_v<record_body>> recordKinds { {
        { "publication", readPublication },
        { "claim", readClaim },
        { "renewal", readRenewal },
        { "release", readRelease },
        { "order", readOrder },
        { "order-end", readOrderEnd },
        { "snapshot", readSnapshot },
    } };

    bool hasKnownEnumValues(const record_body& body)
    {
        if (const auto* order = std::get_if<order_record>(&body))
            return order->order.kind != order_kind::none;
        if (const auto* end = std::get_if<order_end_record>(&body))
            return end->reason != order_end::count;
        return true;
    }

}

std::string encodeRecord(const record_origin& origin, const record_body& body)
{
    json line = std::visit([](const auto& r) { return toJson(r); }, body);
    line["kind"] = recordKinds[body.index()].name;
    line["writer"] = toString(origin.writer);
    line["sequence"] = origin.sequence;
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<log_record> decodeRecord(log_offset offset, const std::string& text)
{
    const json line = json::parse(text, nullptr, false);
    if (!line.is_object())
        return std::nullopt;
    try {
        const auto writer = parseInstance(line.at("writer"));
        const auto& kind = line.at("kind").get_ref<const std::string&>();
        if (!writer.isValid())
            return std::nullopt;
        for (const auto& entry : recordKinds) {
            if (kind != entry.name)
                continue;
            log_record record { offset, { writer, line.at("sequence") }, entry.read(line) };
            if (!hasKnownEnumValues(record.body))
                return std::nullopt;
            return record;
        }
    } catch (const json::exception&) {
        // A field is missing or has the wrong type: the text is damaged or is not a record.
    }
    return std::nullopt;
}

}
