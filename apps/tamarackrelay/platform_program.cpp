// Connects the platform's settings, the ports and the gateway.
#include "platform_program.h"

#include "exit_code.h"
#include "signal_watch.h"

#include "gateway/gateway.h"
#include "users_platform/callers.h"
#include "users_platform/duties.h"
#include "users_platform/records.h"
#include "users_platform/settings_file.h"
#include "users_platform/store.h"
#include "users_platform/targets.h"

#include <QCoreApplication>
#include <QTimer>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace tamarack {

namespace {

    using namespace std::chrono_literals;

    /// The settings file may change without a SIGHUP, so it is polled. It has only a few kilobytes.
    constexpr auto settingsCheckInterval = 2s;

    std::string readFile(const std::string& path)
    {
        std::ifstream stream(path);
        std::stringstream text;
        text << stream.rdbuf();
        return text.str();
    }

    /// Holds the settings as last read and applies changes of the file to the running gateway.
    class watched_settings {
    public:
        explicit watched_settings(std::string path)
            : m_path(std::move(path))
            , m_text(readFile(m_path))
        {
        }

        std::variant<gateway_settings, setting_errors> current() const
        {
            return users_platform::readSettings(m_text, m_path);
        }

        /// Applies the file if it has changed. If it is invalid, prints the errors and keeps the settings in force.
        void reload(gateway& running)
        {
            auto text = readFile(m_path);
            if (text == m_text)
                return;
            m_text = std::move(text);
            const auto read = current();
            if (const auto* errors = std::get_if<setting_errors>(&read)) {
                for (const auto& error : *errors)
                    std::cerr << toString(error) << "\n";
                return;
            }
            running.reconfigure(std::get<gateway_settings>(read));
        }

    private:
        std::string m_path;
        std::string m_text;
    };

    int printErrors(const setting_errors& errors)
    {
        for (const auto& error : errors)
            std::cerr << toString(error) << "\n";
        return exitSettingsError;
    }

    int run(int argc, char** argv, watched_settings& settings, const gateway_settings& initialSettings)
    {
        std::signal(SIGPIPE, SIG_IGN);
        gateway* running = nullptr;
        signal_watch signals({ [&] { running->drain(); }, [&] { settings.reload(*running); } });
        QCoreApplication application(argc, argv);
        http_client client;
        users_platform::store store(client, initialSettings.store);
        const users_platform::callers callers;
        const users_platform::targets targets;
        const users_platform::records records;
        const users_platform::duties duties;
        gateway node(
            initialSettings, { callers, targets, records, duties, store }, client, [] { QCoreApplication::quit(); });
        running = &node;
        if (const auto failure = node.start(); !failure.empty()) {
            std::cerr << "tamarackrelay: " << failure << "; is another process using it?\n";
            return exitStartFailed;
        }
        signals.begin();
        QTimer settingsTimer;
        QObject::connect(&settingsTimer, &QTimer::timeout, [&] { settings.reload(node); });
        settingsTimer.start(settingsCheckInterval);
        return QCoreApplication::exec();
    }

}

int runOnPlatform(int argc, char** argv, bool onlyCheck)
{
    const auto path = users_platform::settingsPath();
    if (path.empty()) {
        std::cerr << "tamarackrelay: the environment does not say where the platform's settings are\n";
        return exitSettingsError;
    }
    watched_settings settings(path);
    const auto read = settings.current();
    if (const auto* errors = std::get_if<setting_errors>(&read))
        return printErrors(*errors);
    if (onlyCheck) {
        std::cout << path << ": ok\n";
        return exitOk;
    }
    return run(argc, argv, settings, std::get<gateway_settings>(read));
}

}
