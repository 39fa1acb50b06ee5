/** @file ring.h Bounded ring between two or more threads. */
#pragma once

#include <cerrno>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace sp {

/**
 * Bounded ring with many producers and one consumer. The consumer waits on a file descriptor, so that it can wait for
 * sockets and the ring at once.
 */
template <typename T> class Ring {
public:
    /** @param capacity Largest number of items that wait. */
    explicit Ring(std::size_t capacity)
        : m_capacity(capacity)
        , m_wakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }
    Ring(const Ring&) = delete;
    Ring& operator=(const Ring&) = delete;
    ~Ring() { close(m_wakeFd); }

    /**
     * Adds an item unless the ring is full.
     * @param item Item; left unmoved if the ring is full.
     * @return False if the ring is full.
     */
    bool tryPush(T&& item)
    {
        std::unique_lock lock(m_mutex);
        if (m_items.size() >= m_capacity)
            return false;
        const bool wasEmpty = m_items.empty();
        m_items.push_back(std::move(item));
        lock.unlock();
        if (wasEmpty)
            wake();
        return true;
    }

    /**
     * Adds an item even past the capacity; for events whose loss would break the state of the consumer.
     * @param item Item.
     */
    void push(T&& item)
    {
        std::unique_lock lock(m_mutex);
        const bool wasEmpty = m_items.empty();
        m_items.push_back(std::move(item));
        lock.unlock();
        if (wasEmpty)
            wake();
    }

    /**
     * Takes all waiting items, up to a limit.
     * @param limit Largest number of items.
     * @return Items in the order in which they were added; empty if none waits.
     */
    std::vector<T> drain(std::size_t limit = SIZE_MAX)
    {
        std::vector<T> items;
        std::unique_lock lock(m_mutex);
        while (!m_items.empty() && items.size() < limit) {
            items.push_back(std::move(m_items.front()));
            m_items.pop_front();
        }
        if (m_items.empty()) {
            std::uint64_t count = 0;
            while (read(m_wakeFd, &count, sizeof count) < 0 && errno == EINTR) { }
        }
        return items;
    }

    /** @return Descriptor that is readable while items wait. */
    int wakeFd() const { return m_wakeFd; }

    /** Makes the descriptor readable without an item, for instance to end a wait. */
    void wake()
    {
        const std::uint64_t one = 1;
        while (write(m_wakeFd, &one, sizeof one) < 0 && errno == EINTR) { }
    }

    /** @return Number of waiting items. */
    std::size_t size() const
    {
        std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    const std::size_t m_capacity;
    const int m_wakeFd;
    mutable std::mutex m_mutex;
    std::deque<T> m_items;
};

} // namespace sp
