/** @file owner_watch.h Notices that the owner of the cell has stopped serving before its lease runs out. */
#pragma once

#include "store_type.h"
#include "time_type.h"

#include <optional>
#include <string>

namespace sp {

/** What the owner tells a host that asks it. */
struct OwnerSign {
    bool owning = false; ///< It considers itself the owner.
    std::chrono::milliseconds storeSilent { 0 }; ///< Time since the store last answered it.
};

/**
 * The first in line to claim the cell asks the owner at a short pace. Being wrong costs a take-over and nothing else:
 * the claim is conditional on the owner's key, and the former owner is fenced.
 */
class OwnerWatch {
public:
    static constexpr std::chrono::milliseconds interval { 150 }; ///< Some three questions a lease's half time.
    static constexpr std::chrono::milliseconds timeout { 150 }; ///< Answers take a few milliseconds.

    void follow(Revision owner, Time now);
    bool due(Time now) const;
    std::optional<Time> wakeAt() const;
    void asked(Time now);
    std::optional<std::string> answered(Revision owner, const std::optional<OwnerSign>& sign, Time now);

private:
    Revision m_owner; ///< Owner that is followed; 0 if none is.
    Time m_since {};
    Time m_askAt {};
    bool m_open = false; ///< A question has no answer yet.
    int m_missed = 0; ///< Questions in a row without an answer.
};

} // namespace sp
