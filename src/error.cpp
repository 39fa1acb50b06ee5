#include "error_type.h"
#include "table/error_table.h"

namespace sp {

/**
 * Row of the error table.
 * @param kind Kind of error.
 * @return Row; that of Internal for a value outside the list.
 */
const ErrorInfo& errorInfo(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    return index < errorTable.size() ? errorTable[index] : errorTable[static_cast<std::size_t>(ErrorKind::Internal)];
}

/**
 * Kind with a given name.
 * @param name Name as in answers.
 * @return Kind, Internal if the name is unknown.
 */
ErrorKind errorKindFromName(std::string_view name)
{
    for (const ErrorInfo& info : errorTable) {
        if (info.name == name)
            return info.kind;
    }
    return ErrorKind::Internal;
}

/**
 * Name of an outcome in answers.
 * @param outcome Outcome.
 * @return `not_run`, `ran` or `unknown`.
 */
std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Ran:
        return "ran";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace sp
