// Provides the HTTP interface for operators: health, status, metrics and drain. All responses are immediate.
#pragma once

#include "control_plane.h"

#include "http/http_server.h"
#include "observe/metrics.h"
#include "settings/node_settings.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tamarack {

/// Serves the administration port of a node. The referenced objects must outlive it.
class admin_api {
public:
    admin_api(const node_settings& settings, const control_plane& control, traffic_system& traffic,
        const metrics& counters, std::shared_ptr<client_budget> budget, std::function<void()> onDrain);

    /// Returns false if the port cannot be opened.
    bool listen();

private:
    /// A page is served at its path, or, if that ends with a slash, below it. `rest` is what follows then.
    struct page {
        std::string_view path;
        bool isPostOnly;
        http_response (admin_api::*answer)(std::string_view rest);
    };
    static const page pages[];

    http_response answerTo(const http_request& request);
    http_response health(std::string_view rest);
    http_response statusPage(std::string_view rest);
    http_response metricsPage(std::string_view rest);
    http_response release(std::string_view rest);
    http_response drain(std::string_view rest);
    std::string status() const;

    const node_settings& m_settings;
    const control_plane& m_control;
    traffic_system& m_traffic;
    const metrics& m_counters;
    std::function<void()> m_onDrain;
    http_server m_server;
};

}
