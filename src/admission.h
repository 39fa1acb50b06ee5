/** @file admission.h Decides how many submissions an owner admits while it is too slow for the load offered to it. */
#pragma once

#include "time_type.h"

namespace sp {

/**
 * Share of submissions that are admitted. It shrinks while the owner's event loop lags behind and grows again when the
 * lag is short, so that the owner decides in time about what it has admitted, and its calls, renewals of leases and
 * answers to other hosts keep their time limits. It answers a load above the owner's processor capacity: a burst, or
 * a host that has become slow. A full cell, in which jobs wait for capacity, has no such lag and is not affected.
 */
class Admission {
public:
    /** Lag that is accepted. A job takes some ten turns of the event loop from submission to its last result. */
    static constexpr std::chrono::milliseconds acceptedLag { 60 };
    /** Lag from which on nothing is admitted: other hosts' calls run into their time limits. */
    static constexpr std::chrono::milliseconds closedLag { 240 };

    void update(Duration lag, Time now);
    bool admit();
    double share() const { return m_share; }

private:
    double m_share = 1; ///< Share of submissions to admit, from 0 to 1.
    double m_credit = 0; ///< Sum of the shares of the submissions since the last one that was admitted.
    bool m_closed = false;
    Time m_updatedAt {};
};

} // namespace sp
