/** @file fault_switches.h Mechanisms that the soak test breaks on purpose to prove that it notices. */
#pragma once

namespace sp {

/** Each switch disables one mechanism. All are off unless a test sets them; no setting or bundle reaches them. */
struct FaultSwitches {
    bool ignoreLeaseDeadline = false; ///< A lease counts as fresh until the store says that it is gone.
    bool ignoreGivenPromises = false; ///< Claims shards although a peer was promised not to.
    bool skipRestartWait = false; ///< Claims at once after a start, without regard to forgotten promises.
    bool promiseWhileClaiming = false; ///< Promises a shard although an own claim of it may yet take effect.
    bool reuseTerm = false; ///< Claims under the last term instead of a higher one.
    bool takeLostClaimAsWon = false; ///< Treats a claim without an answer as won.
    bool forgetLostClaim = false; ///< Treats a claim without an answer as failed, without reading it back.
};

} // namespace sp
