#include "admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sp {

namespace {

    /** Reduction of the share in a second with twice the accepted lag; proportional to the excess of the lag. */
    constexpr double reductionPerSecond = 1;
    /** Growth of the share in a second without lag: from none to all in two seconds. */
    constexpr double growthPerSecond = 0.5;
    /** A share of 0 would never show that the owner has got faster. */
    constexpr double minShare = 0.02;

    constexpr std::chrono::seconds maxElapsed { 1 }; ///< A longer pause says nothing about the load.

} // namespace

/** Adapts the share to the owner's lag. */
void Admission::update(Duration lag, Time now)
{
    const Duration elapsed = std::min<Duration>(now - std::exchange(m_updatedAt, now), maxElapsed);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double excess = std::chrono::duration<double>(lag - acceptedLag) / acceptedLag;
    const double change = excess > 0 ? m_share * (std::exp(-reductionPerSecond * excess * seconds) - 1)
                                     : growthPerSecond * -excess * seconds;
    m_share = std::clamp(m_share + change, minShare, 1.0);
    m_closed = lag >= closedLag;
}

/** Returns whether to admit the next submission. Admitted ones are spread evenly over the others. */
bool Admission::admit()
{
    if (m_closed)
        return false;
    m_credit += m_share;
    if (m_credit < 1)
        return false;
    m_credit -= 1;
    return true;
}

} // namespace sp
