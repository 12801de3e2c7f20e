// Provides the HTTP interface for operators: health, status, metrics and drain. All responses are short and immediate,
// so Qt's HTTP server is sufficient for it.
#pragma once

#include "control_plane.h"

#include "observe/metrics.h"
#include "settings/node_settings.h"

#include <QHttpServer>
#include <functional>

namespace tamarack {

/// Serves the administration port of a node. The referenced objects must outlive it.
class admin_api {
public:
    admin_api(const node_settings& settings, const control_plane& control, traffic_system& traffic,
        const metrics& counters, std::function<void()> onDrain);

    /// Returns false if the port cannot be opened.
    bool listen();

private:
    std::string status() const;

    const node_settings& m_settings;
    const control_plane& m_control;
    traffic_system& m_traffic;
    const metrics& m_counters;
    std::function<void()> m_onDrain;
    QHttpServer m_server;
};

}
