#include "doctest_main.h"

#include "bundle.h"
#include "ini_text.h"

#include <algorithm>
#include <rapidcheck.h>
#include <set>

using namespace sp;
using namespace std::chrono_literals;

namespace {

constexpr const char* goodText = R"([bundle]
version = 7
author = ann
note = more memory for reports
[cell]
data_centres = dc1, dc2
[workload search]
class = prompt
service = search
deadline = 250ms
[workload reports]
class = batch
max_wait = 5min
[team sales]
cores = 12.5
)";

std::string problemLines(const BundleParse& parse)
{
    std::string text;
    for (const TextProblem& problem : parse.problems)
        text += problemText("b", problem) + "\n";
    return text;
}

const TextProblem* findProblem(const BundleParse& parse, const std::string& key)
{
    const auto it = std::find_if(
        parse.problems.begin(), parse.problems.end(), [&](const TextProblem& problem) { return problem.key == key; });
    return it == parse.problems.end() ? nullptr : &*it;
}

} // namespace

// Guards against values that are read in a wrong unit and against wrong defaults.
TEST_CASE("a good bundle is parsed with its defaults")
{
    const BundleParse parse = parseBundle(goodText);
    REQUIRE_MESSAGE(parse.bundle, problemLines(parse));
    const Bundle& bundle = *parse.bundle;
    CHECK(bundle.version == BundleVersion(7));
    CHECK(bundle.digest == sha256Hex(goodText));
    CHECK(bundle.cell.keyDataCentres == bundle.cell.dataCentres);
    CHECK(bundle.cell.slotShards == 2);
    const WorkloadPolicy& search = bundle.workloads.at(WorkloadId("search"));
    CHECK(search.deadline == 250ms);
    CHECK(search.queueLimit == 1000);
    CHECK(bundle.workloads.at(WorkloadId("reports")).maxWait == 5min);
    CHECK(bundle.teams.at(TeamId("sales")).coresMilli == 12500);
    CHECK(bundle.health.waitP99Max == 1s);
}

// Guards against a check that ends at the first fault, and against problems without line or remedy.
TEST_CASE("every problem of a text is reported at once")
{
    const BundleParse parse = parseBundle(R"([bundle]
version = 0
author = ann b
[cell]
data_centres = dc1
key_data_centres = dc9
slot_shards = 65
short_reserve_min = 0.5
reclaim_after = 30
colour = red
[weights]
wait = much
wait = 1
[workload search]
class = prompt
idempotent = yes
[workload reports]
class = nightly
[workload index]
class = batch
service = search
[shape]
size = 3
)");
    CHECK_FALSE(parse.bundle);
    const std::pair<const char*, int> expected[]
        = { { "bundle.version", 2 }, { "bundle.author", 3 }, { "cell.key_data_centres", 6 }, { "cell.slot_shards", 7 },
              { "cell.short_reserve_min", 8 }, { "cell.reclaim_after", 9 }, { "cell.colour", 10 },
              { "weights.wait", 12 }, { "workload search.idempotent", 16 }, { "workload search.service", 14 },
              { "workload reports.class", 18 }, { "workload index.service", 21 }, { "shape.size", 23 } };
    for (const auto& place : expected) {
        CAPTURE(place.first);
        CAPTURE(problemLines(parse));
        const TextProblem* problem = findProblem(parse, place.first);
        REQUIRE(problem);
        CHECK(problem->line == place.second);
    }
    CHECK(parse.problems.size() == std::size(expected) + 1); // weights.wait is malformed and given twice
    for (const TextProblem& problem : parse.problems) {
        CHECK_FALSE(problem.problem.empty());
        CHECK_FALSE(problem.remedy.empty());
    }
}

// Guards against an empty text that passes for a bundle of defaults, and against a section that is dropped because it
// has no keys.
TEST_CASE("missing sections and keys are reported")
{
    const BundleParse empty = parseBundle("");
    CHECK_FALSE(empty.bundle);
    CHECK(empty.problems.size() == 3);
    const BundleParse bare = parseBundle("[bundle]\n; comment\n[cell]\n[workload a]\n");
    CHECK_FALSE(bare.bundle);
    for (const char* key : { "bundle.version", "bundle.author", "cell.data_centres", "workload a.class" }) {
        CAPTURE(key);
        CHECK(findProblem(bare, key));
    }
    CHECK(findProblem(bare, "workload a.class")->line == 4);
    const BundleParse unknown = parseBundle(std::string(goodText) + "[shape]\n");
    CHECK(findProblem(unknown, "shape"));
    CHECK(parseBundle(std::string(goodText) + "[team spare]\n").bundle.value().teams.contains(TeamId("spare")));
}

// Guards against a successor that moves keys or targets to other shards, or lowers the version.
TEST_CASE("a successor keeps what is fixed")
{
    const Bundle earlier = parseBundle(goodText).bundle.value();
    Bundle later = earlier;
    CHECK(checkSuccession(earlier, later).size() == 1);
    later.version = BundleVersion(8);
    CHECK(checkSuccession(earlier, later).empty());
    later.cell.dataCentres.emplace_back("dc3");
    CHECK(checkSuccession(earlier, later).empty());
    later.cell.slotShards = 3;
    later.cell.workerShards = 2;
    std::swap(later.cell.keyDataCentres[0], later.cell.keyDataCentres[1]);
    later.version = BundleVersion(6);
    std::set<std::string> keys;
    for (const TextProblem& problem : checkSuccession(earlier, later)) {
        CHECK_FALSE(problem.remedy.empty());
        keys.insert(problem.key);
    }
    CHECK(keys
        == std::set<std::string> {
            "bundle.version", "cell.slot_shards", "cell.worker_shards", "cell.key_data_centres" });
}

// Guards against problems of succession that leave the operator to search for the line.
TEST_CASE("problems of succession get the line of their key")
{
    std::vector<TextProblem> problems { { 0, "bundle.version", "p", "r" }, { 0, "cell.slot_shards", "p", "r" } };
    locateProblems(goodText, problems);
    CHECK(problems[0].line == 2);
    CHECK(problems[1].line == 5); // the key is not given: line of its section
}

// Guards against a crash or an endless loop on any text, and against a refusal without a problem.
TEST_CASE("any text is either a bundle or has problems")
{
    CHECK(rc::check("mutated texts", [](std::uint32_t at, const std::string& piece) {
        std::string text = goodText;
        text.insert(at % text.size(), piece);
        const BundleParse parse = parseBundle(text);
        RC_ASSERT(parse.bundle.has_value() == parse.problems.empty());
    }));
}
