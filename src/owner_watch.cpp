#include "owner_watch.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr int missesForDead = 3; ///< A loaded host misses one or two of them.
    constexpr std::chrono::milliseconds storeSilentFor { 450 }; ///< A slow store answers within a quarter of a second.
    constexpr std::chrono::milliseconds settling { 2000 }; ///< A host that takes over is busy with reading and reports.

} // namespace

/** Sets which owner is followed. @param owner Revision of its claim, 0 for none. @param now Present time. */
void OwnerWatch::follow(Revision owner, Time now)
{
    if (owner == m_owner)
        return;
    m_owner = owner;
    m_since = now;
    m_askAt = now + settling;
    m_open = false;
    m_missed = 0;
}

/** Whether the owner is to be asked. @param now Present time. @return True if so. */
bool OwnerWatch::due(Time now) const
{
    const auto at = wakeAt();
    return at && now >= *at;
}

/** When the owner is to be asked next. @return Time, nothing while none is followed or a question is open. */
std::optional<Time> OwnerWatch::wakeAt() const
{
    return m_owner.value != 0 && !m_open ? std::optional(m_askAt) : std::nullopt;
}

/** The owner was asked. @param now Present time. */
void OwnerWatch::asked(Time now)
{
    m_open = true;
    m_askAt = now + interval;
}

/**
 * Takes an answer, or the lack of one.
 * @param owner Owner that was asked.
 * @param sign What it told; nothing if it did not answer in time.
 * @param now Present time.
 * @return Why the owner should be replaced; nothing if it should not.
 */
std::optional<std::string> OwnerWatch::answered(Revision owner, const std::optional<OwnerSign>& sign, Time now)
{
    if (owner != m_owner)
        return std::nullopt;
    m_open = false;
    m_askAt = std::max(m_askAt, now);
    if (!sign) {
        if (++m_missed < missesForDead)
            return std::nullopt;
        m_missed = 0;
        return "it does not answer";
    }
    m_missed = 0;
    if (!sign->owning)
        return "it does not consider itself the owner";
    if (sign->storeSilent > storeSilentFor)
        return "the store does not answer it";
    return std::nullopt;
}

} // namespace sp
