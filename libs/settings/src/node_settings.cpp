// Implements the reading of node settings: the table of fields, and the checks across fields.
#include "settings/node_settings.h"

#include "field_table.h"

#include <array>

namespace tamarack {

namespace {

    using detail::field;
    using s = node_settings;

    const std::array<field<s>, 24> fields { {
        { "vm", &s::vm, true },
        { "region", &s::region, true },
        { "availability_zone", &s::availabilityZone, true },
        { "address", &s::address, true },
        { "caller_port", &s::callerPort, true, 1, 65535 },
        { "peer_port", &s::peerPort, true, 1, 65535 },
        { "admin_port", &s::adminPort, true, 1, 65535 },
        { "log_address", &s::logAddress, true },
        { "log_stream", &s::logStream },
        { "vm_list_address", &s::vmListAddress, true },
        { "log_level", &s::logLevel },
        { "span_file", &s::spanFile },
        { "log_poll_interval", &s::logPollInterval, false, 0.01, 60 },
        { "vm_list_poll_interval", &s::vmListPollInterval, false, 0.05, 60 },
        { "heartbeat_interval", &s::heartbeatInterval, false, 0.05, 60 },
        { "peer_timeout", &s::peerTimeout, false, 0.1, 600 },
        { "target_poll_interval", &s::targetPollInterval, false, 0.05, 60 },
        { "lease_length", &s::leaseLength, false, 0.5, 600 },
        { "entry_lifetime", &s::entryLifetime, false, 0.1, 3600 },
        { "drain_timeout", &s::drainTimeout, false, 0.1, 3600 },
        { "key_memory", &s::keyMemory, false, 1, 86400 },
        { "snapshot_interval", &s::snapshotInterval, false, 0.5, 86400 },
        { "max_requests", &s::maxRequests, false, 1, 1'000'000 },
        { "client_memory", &s::clientMemoryMegabytes, false, 32, 1'000'000 },
    } };

    bool isIpAddress(const std::string& text)
    {
        return !text.empty() && text.find_first_not_of("0123456789.abcdefABCDEF:") == std::string::npos;
    }

    void checkFieldCombinations(detail::json_document& document, const s& read)
    {
        if (!read.address.empty() && !isIpAddress(read.address))
            document.addError("address", "must be an IP address; host names are not resolved");
        const std::array<std::pair<const char*, int>, 3> ports { { { "caller_port", read.callerPort },
            { "peer_port", read.peerPort }, { "admin_port", read.adminPort } } };
        for (std::size_t i = 1; i < ports.size(); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                if (ports[i].second != 0 && ports[i].second == ports[j].second)
                    document.addError(ports[i].first, std::string("must differ from ") + ports[j].first);
            }
        }
        if (read.peerTimeout < 2 * read.heartbeatInterval)
            document.addError("peer_timeout", "must be at least twice heartbeat_interval");
        if (read.leaseLength < 4 * read.logPollInterval)
            document.addError("lease_length", "must be at least four times log_poll_interval");
        constexpr std::array levels { "debug", "info", "warning", "error" };
        if (std::find(levels.begin(), levels.end(), read.logLevel) == levels.end())
            document.addError("log_level", "must be one of debug, info, warning, error");
    }

}

std::variant<node_settings, setting_errors> readNodeSettings(const std::string& text, const std::string& file)
{
    detail::json_document document(text, file);
    node_settings read;
    if (document.isParsed()) {
        detail::readFields<s>(document, document.root(), "", read, fields);
        checkFieldCombinations(document, read);
    }
    if (!document.errors().empty())
        return document.errors();
    return read;
}

}
