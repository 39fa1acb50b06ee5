#include "doctest_main.h"

#include "table/error_table.h"

#include <set>

using namespace sp;

// Guards against a row that was inserted out of order: every kind would then get another kind's answer.
TEST_CASE("each row of the error table stands at the index of its kind")
{
    for (std::size_t i = 0; i < errorTable.size(); ++i) {
        CHECK(static_cast<std::size_t>(errorTable[i].kind) == i);
        CHECK(errorKindFromName(errorTable[i].name) == errorTable[i].kind);
    }
}

// Guards against telling a caller "not run" for a kind that is used after a start may have reached a target.
TEST_CASE("kinds used after a send never say not_run")
{
    CHECK(errorInfo(ErrorKind::AnswerLost).outcome == Outcome::Unknown);
    CHECK(errorInfo(ErrorKind::TargetFailed).outcome == Outcome::Ran);
    CHECK(errorInfo(ErrorKind::Internal).outcome == Outcome::Unknown);
    CHECK(errorInfo(ErrorKind::NotFound).outcome == Outcome::Unknown);
    CHECK(errorInfo(static_cast<ErrorKind>(200)).kind == ErrorKind::Internal);
}

// Guards against two kinds that callers can't tell apart.
TEST_CASE("names are distinct")
{
    std::set<std::string_view> names;
    for (const ErrorInfo& info : errorTable)
        CHECK(names.insert(info.name).second);
}
