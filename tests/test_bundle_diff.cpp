#include "doctest_main.h"

#include "bundle_diff.h"

using namespace sp;

namespace {

std::string text(const std::string& cell, const std::string& rest)
{
    return "[bundle]\nversion = 1\nauthor = ann\n[cell]\ndata_centres = dc1, dc2\n" + cell
        + "[workload search]\nclass = prompt\nservice = search\n" + rest;
}

std::string diffText(const std::string& before, const std::string& after)
{
    std::string lines;
    for (const BundleChange& change : diffBundles(before, after))
        lines += changeText(change) + "\n";
    return lines;
}

} // namespace

// Guards against an approver who has to read changes that have no effect.
TEST_CASE("defaults and other spellings are no change")
{
    const std::string plain = text("", "");
    CHECK(diffText(plain,
              text("slot_shards = 2\nkey_data_centres = dc1,dc2\nreclaim_after = 30000ms\n",
                  "deadline = 2s\nweight = 1.0\nidempotent = true\n[weights]\nwait = 1\n[health]\nstage_time = 2s\n"))
        == "");
    CHECK(diffText(text("reclaim_after = 60s\n", ""), text("reclaim_after = 1min\n", "")) == "");
    std::string other = plain;
    other.replace(other.find("version = 1"), 11, "version = 2\nnote = again");
    CHECK(diffText(plain, other) == "");
    CHECK(diffText(plain, text("", "[weights]\nwait = 3\npacking = 3\nspread = 3\n")) == "");
}

// Guards against a change of effect that is not shown.
TEST_CASE("changes of effect are shown with both values")
{
    const std::string plain = text("", "");
    CHECK(diffText(plain, text("", "deadline = 250ms\n"))
        == "~ [workload search] deadline: 2s -> 250ms (Default deadline of a prompt request.)\n");
    CHECK(diffText(text("", "queue_limit = 5\n"), plain)
        == "~ [workload search] queue_limit: 5 requests or jobs -> 1000 requests or jobs (Largest number that waits in "
           "one shard.)\n");
    CHECK(diffText(plain, text("", "[weights]\nwait = 2\n")).starts_with("~ [weights] wait: 1 -> 2"));
    const std::string team = text("", "[team sales]\ncores = 8\n");
    CHECK(diffText(plain, team) == "+ [team sales] cores = 8 cores\n");
    CHECK(diffText(team, plain) == "- [team sales] cores = 8 cores\n");
}

// Guards against a key that the comparison leaves out: a new data centre also changes the default of another key.
TEST_CASE("a default that follows another key changes with it")
{
    std::string more = text("", "");
    more.replace(more.find("dc1, dc2"), 8, "dc1, dc2, dc3");
    const auto changes = diffBundles(text("", ""), more);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].key == "data_centres");
    CHECK(changes[1].key == "key_data_centres");
    CHECK(diffBundles(text("key_data_centres = dc1, dc2\n", ""), text("", "")).empty());
}

// Guards against a first bundle whose sections are not shown.
TEST_CASE("the first bundle is compared with nothing")
{
    const std::string lines = diffText("", text("", ""));
    CHECK(lines.find("+ [workload search] class = prompt, service = search\n") != std::string::npos);
    CHECK(lines.find("~ [cell] data_centres: none -> dc1, dc2") != std::string::npos);
}
