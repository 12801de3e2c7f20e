// signalfd behind a notifier.
#include "signal_watch.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace tamarack {

namespace {

    int openSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        for (const int number : { SIGTERM, SIGINT, SIGHUP })
            sigaddset(&signals, number);
        sigprocmask(SIG_BLOCK, &signals, nullptr);
        return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    }

}

signal_watch::signal_watch(signal_handlers on)
    : m_on(std::move(on))
    , m_descriptor(openSignals())
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
        const auto& handler = isReload ? m_on.onReload : m_on.onStop;
        if (handler)
            handler();
    }
}

}
