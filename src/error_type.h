/** @file error_type.h Closed list of error kinds and what a caller may conclude from each. */
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace sp {

namespace leaf = boost::leaf;

/** All kinds of error that a part of the system can report. The table is in table/error_table.h. */
enum class ErrorKind : std::uint8_t {
    Ok,
    BadRequest,
    TooLarge,
    UnknownWorkload,
    NotFound,
    KeyConflict,
    NeverRunnable,
    QuotaExceeded,
    QueueFull,
    DeadlineUnmeetable,
    DeadlinePassed,
    Cancelled,
    NoOwner,
    OwnerUnreachable,
    StoreUnavailable,
    NotReady,
    Draining,
    TargetRefused,
    TargetFailed,
    AnswerLost,
    StaleTerm,
    Conflict,
    BadBundle,
    Internal,
    Count,
};

/** What a caller may conclude about its work. */
enum class Outcome : std::uint8_t {
    NotRun, ///< It was certainly not run and will not be.
    Ran, ///< It ran to its end, successfully or not.
    Unknown, ///< It may have run; ask again with the same idempotency key.
};

/** Whether a caller may send the same work again. */
enum class RetryAdvice : std::uint8_t {
    Never, ///< The same work will be refused again.
    AfterDelay, ///< Again after a pause.
    SameKeyOnly, ///< Only with the same idempotency key.
};

/** Row of the error table. */
struct ErrorInfo {
    ErrorKind kind; ///< Kind, equal to the index of the row.
    std::string_view name; ///< Name in answers, logs and metrics.
    int httpStatus; ///< Status of the HTTP answer.
    Outcome outcome; ///< Conclusion the caller may draw.
    RetryAdvice retry; ///< Advice for the caller.
    std::string_view text; ///< One sentence for people.
};

/** Detail that travels with an error through leaf::result. */
struct ErrorDetail {
    std::string text; ///< What was wrong, with the values concerned.
};

const ErrorInfo& errorInfo(ErrorKind kind);
ErrorKind errorKindFromName(std::string_view name);
std::string_view outcomeName(Outcome outcome);

/**
 * Creates an error for leaf::result.
 * @param kind Kind of error.
 * @param detail Text for people.
 * @return Id to return from a function with a leaf::result.
 */
inline leaf::error_id fail(ErrorKind kind, std::string detail)
{
    return leaf::new_error(kind, ErrorDetail { std::move(detail) });
}

} // namespace sp
