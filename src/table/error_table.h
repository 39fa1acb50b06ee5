/** @file error_table.h From error kind to answer. */
#pragma once

#include "error_type.h"

#include <array>

namespace sp {

/** One row for each kind, in the order of the enumeration. */
inline constexpr std::array<ErrorInfo, static_cast<std::size_t>(ErrorKind::Count)> errorTable { {
    { ErrorKind::Ok, "ok", 200, Outcome::Ran, RetryAdvice::Never, "The work ran." },
    { ErrorKind::BadRequest, "bad_request", 400, Outcome::NotRun, RetryAdvice::Never, "The request is malformed." },
    { ErrorKind::TooLarge, "too_large", 413, Outcome::NotRun, RetryAdvice::Never, "The body exceeds the limit." },
    { ErrorKind::UnknownWorkload, "unknown_workload", 404, Outcome::NotRun, RetryAdvice::Never,
        "The bundle in force declares no such workload." },
    { ErrorKind::NotFound, "not_found", 404, Outcome::Unknown, RetryAdvice::Never, "No such request or job is known." },
    { ErrorKind::KeyConflict, "key_conflict", 409, Outcome::NotRun, RetryAdvice::Never,
        "The idempotency key was used with other content." },
    { ErrorKind::NeverRunnable, "never_runnable", 422, Outcome::NotRun, RetryAdvice::Never,
        "No known target can ever hold the work." },
    { ErrorKind::QuotaExceeded, "quota_exceeded", 429, Outcome::NotRun, RetryAdvice::AfterDelay,
        "The team's quota is used up." },
    { ErrorKind::QueueFull, "queue_full", 429, Outcome::NotRun, RetryAdvice::AfterDelay,
        "The queue of the workload is full." },
    { ErrorKind::DeadlineUnmeetable, "deadline_unmeetable", 503, Outcome::NotRun, RetryAdvice::AfterDelay,
        "The work could not start in time for its deadline." },
    { ErrorKind::DeadlinePassed, "deadline_passed", 504, Outcome::NotRun, RetryAdvice::AfterDelay,
        "The deadline passed before the work started." },
    { ErrorKind::Cancelled, "cancelled", 410, Outcome::NotRun, RetryAdvice::Never,
        "The work was cancelled before it started." },
    { ErrorKind::NoOwner, "no_owner", 503, Outcome::NotRun, RetryAdvice::AfterDelay,
        "No scheduler owns the shard at present." },
    { ErrorKind::OwnerUnreachable, "owner_unreachable", 503, Outcome::NotRun, RetryAdvice::AfterDelay,
        "The owner of the shard can't be reached." },
    { ErrorKind::StoreUnavailable, "store_unavailable", 503, Outcome::NotRun, RetryAdvice::AfterDelay,
        "The work needs a store record and the store does not answer." },
    { ErrorKind::NotReady, "not_ready", 503, Outcome::NotRun, RetryAdvice::AfterDelay,
        "The process has no bundle in force yet." },
    { ErrorKind::Draining, "draining", 503, Outcome::NotRun, RetryAdvice::AfterDelay, "The process is shutting down." },
    { ErrorKind::TargetRefused, "target_refused", 503, Outcome::NotRun, RetryAdvice::AfterDelay,
        "The target refused the work before it started." },
    { ErrorKind::TargetFailed, "target_failed", 502, Outcome::Ran, RetryAdvice::SameKeyOnly,
        "The work ran on a target and failed." },
    { ErrorKind::AnswerLost, "answer_lost", 504, Outcome::Unknown, RetryAdvice::SameKeyOnly,
        "The work may have started and its answer was lost." },
    { ErrorKind::StaleTerm, "stale_term", 409, Outcome::NotRun, RetryAdvice::AfterDelay,
        "The start carried a term that has been superseded." },
    { ErrorKind::Conflict, "conflict", 409, Outcome::NotRun, RetryAdvice::AfterDelay, "Another change won." },
    { ErrorKind::BadBundle, "bad_bundle", 422, Outcome::NotRun, RetryAdvice::Never, "The bundle has errors." },
    { ErrorKind::Internal, "internal", 500, Outcome::Unknown, RetryAdvice::SameKeyOnly, "An internal error." },
} };

} // namespace sp
