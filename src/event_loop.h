/** @file event_loop.h Loop of a process that waits for descriptors, signals and times on one thread. */
#pragma once

#include "time_type.h"

#include <functional>
#include <poll.h>
#include <vector>

namespace sp {

class EventLoop {
public:
    EventLoop() = default;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
    ~EventLoop();

    static void blockSignals();
    void watch(int fd, std::function<void()> readable);
    void watchSignals(std::function<void(int signal, Time now)> received);
    void run(const std::function<void(Time now)>& tick, const std::function<Time(Time now)>& wakeAt);
    void stop() { m_stopping = true; }
    std::chrono::milliseconds lateness() const { return m_lateness; }
    /** Returns the time at which the last wait for events ended. */
    Time turnBeganAt() const { return m_turnBeganAt; }

private:
    std::vector<pollfd> m_fds;
    std::vector<std::function<void()>> m_readable;
    int m_signalFd = -1;
    bool m_stopping = false;
    std::chrono::milliseconds m_lateness { 0 }; ///< How late the present round began.
    Time m_turnBeganAt {};
};

} // namespace sp
