/** @file resource_type.h Resources in integer units. */
#pragma once

#include <cstdint>

namespace sp {

/** Amount of each resource of a worker or a task. */
struct Resources {
    std::int64_t coresMilli = 0; ///< Thousandths of a core.
    std::int64_t memoryMb = 0; ///< Megabytes.
    std::int64_t accelerators = 0; ///< Whole accelerators.

    bool operator==(const Resources&) const = default;

    /**
     * Whether this amount fits into another one.
     * @param room Available amount.
     * @return True if no resource exceeds the room.
     */
    constexpr bool fitsIn(const Resources& room) const
    {
        return coresMilli <= room.coresMilli && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }

    /** Whether this amount is within a limit, in which 0 means that a resource is not limited. */
    constexpr bool withinLimit(const Resources& limit) const
    {
        const auto within = [](std::int64_t amount, std::int64_t most) { return most <= 0 || amount <= most; };
        return within(coresMilli, limit.coresMilli) && within(memoryMb, limit.memoryMb)
            && within(accelerators, limit.accelerators);
    }

    constexpr Resources& operator+=(const Resources& other)
    {
        coresMilli += other.coresMilli;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    constexpr Resources& operator-=(const Resources& other)
    {
        coresMilli -= other.coresMilli;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend constexpr Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend constexpr Resources operator*(const Resources& amount, std::int64_t factor)
    {
        return { amount.coresMilli * factor, amount.memoryMb * factor, amount.accelerators * factor };
    }
    friend constexpr Resources operator-(Resources left, const Resources& right) { return left -= right; }
};

} // namespace sp
