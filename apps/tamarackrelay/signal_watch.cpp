// Implements signal_watch with a signalfd and a socket notifier.
#include "signal_watch.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace tamarack {

namespace {

    int createSignalDescriptor()
    {
        sigset_t signals;
        sigemptyset(&signals);
        for (const int number : { SIGTERM, SIGINT, SIGHUP })
            sigaddset(&signals, number);
        sigprocmask(SIG_BLOCK, &signals, nullptr);
        return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    }

}

signal_watch::signal_watch(signal_handlers handlers)
    : m_handlers(std::move(handlers))
    , m_descriptor(createSignalDescriptor())
{
}

signal_watch::~signal_watch()
{
    m_notifier.reset();
    close(m_descriptor);
}

void signal_watch::begin()
{
    m_notifier = std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
    QObject::connect(m_notifier.get(), &QSocketNotifier::activated, [this] { read(); });
}

void signal_watch::read()
{
    signalfd_siginfo info;
    while (::read(m_descriptor, &info, sizeof info) == sizeof info) {
        const bool isReload = info.ssi_signo == SIGHUP;
        const auto& handler = isReload ? m_handlers.onReload : m_handlers.onStop;
        if (handler)
            handler();
    }
}

}
