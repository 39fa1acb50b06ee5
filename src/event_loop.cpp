#include "event_loop.h"

#include "guard_func.h"

#include <algorithm>
#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds longestWait { 1000 }; ///< Bounds the harm of a time that was not announced.

    sigset_t watchedSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        return signals;
    }

} // namespace

EventLoop::~EventLoop()
{
    if (m_signalFd >= 0)
        close(m_signalFd);
}

/** Waits for a descriptor. @param fd Descriptor, kept open by the caller. @param readable Called when it is readable.
 */
void EventLoop::watch(int fd, std::function<void()> readable)
{
    m_fds.push_back({ fd, POLLIN, 0 });
    m_readable.push_back(std::move(readable));
}

/** Blocks the signals of watchSignals() in this thread and those started later, and ignores SIGPIPE. */
void EventLoop::blockSignals()
{
    const sigset_t signals = watchedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

/**
 * Takes SIGTERM, SIGINT and SIGHUP. blockSignals() must have been called before any thread was started.
 * @param received Called on the loop's thread.
 */
void EventLoop::watchSignals(std::function<void(int signal, Time now)> received)
{
    const sigset_t signals = watchedSignals();
    m_signalFd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    watch(m_signalFd, [this, received = std::move(received)] {
        signalfd_siginfo info {};
        while (read(m_signalFd, &info, sizeof info) == sizeof info)
            received(static_cast<int>(info.ssi_signo), BootClock::now());
    });
}

/**
 * Runs until stop().
 * @param tick Called after each wait.
 * @param wakeAt Tells when tick is due at the latest.
 */
void EventLoop::run(const std::function<void(Time now)>& tick, const std::function<Time(Time now)>& wakeAt)
{
    while (!m_stopping) {
        const Time now = BootClock::now();
        const Time due = std::min(wakeAt(now), now + longestWait);
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(std::max(due - now, Duration(0)));
        const int ready = poll(m_fds.data(), m_fds.size(), static_cast<int>(wait.count()));
        const Time woken = BootClock::now();
        m_turnBeganAt = woken;
        m_lateness = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(woken - due, Duration(0)));
        for (std::size_t i = 0; ready > 0 && i < m_fds.size(); ++i) {
            if (m_fds[i].revents != 0)
                runGuarded("event", m_readable[i]);
        }
        runGuarded("tick", [&] { tick(BootClock::now()); });
    }
}

} // namespace sp
