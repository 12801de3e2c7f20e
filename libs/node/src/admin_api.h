// The operators' interface: health, status, metrics, drain. Answers at once, so Qt's HTTP server carries it.
#pragma once

#include "control_plane.h"

#include "observe/metrics.h"
#include "settings/node_settings.h"

#include <QHttpServer>
#include <functional>

namespace tamarack {

class admin_api {
public:
    admin_api(const node_settings& settings, const control_plane& control, const traffic_system& traffic,
        const metrics& counters, std::function<void()> onDrain);

    /// False if the port is taken.
    bool listen();

private:
    std::string status() const;

    const node_settings& m_settings;
    const control_plane& m_control;
    const traffic_system& m_traffic;
    const metrics& m_counters;
    std::function<void()> m_onDrain;
    QHttpServer m_server;
};

}
