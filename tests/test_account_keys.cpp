#include "doctest_main.h"

#include "account_keys.h"

using namespace sp;

namespace {

ClientAccount account(const std::string& id, std::vector<std::string> keys)
{
    ClientAccount result;
    result.id = AccountId(id);
    result.keys = std::move(keys);
    return result;
}

KeyVerdict verdictOf(const AccountKeys& keys, const std::string& header) { return keys.find(header, false).verdict; }

} // namespace

TEST_CASE("each key of an account leads to it")
{
    const AccountKeys keys({ account("a", { "k1", "k2" }), account("b", { "k3" }) });
    for (const auto& [header, id] : { std::pair("Bearer k1", "a"), { "Bearer k2", "a" }, { "Bearer k3", "b" },
             { "bearer k1", "a" }, { "BEARER  k1", "a" }, { " Bearer k1 ", "a" } }) {
        const AccountKeys::Match match = keys.find(std::string(header), false);
        CHECK(match.verdict == KeyVerdict::Found);
        CHECK(match.account == AccountId(id));
    }
}

// Guards against a request that is served although its key is not certain.
TEST_CASE("all other headers are refused with their reason")
{
    const AccountKeys keys({ account("a", { "k1", "" }), account("b", { "k2" }) });
    CHECK(keys.find(std::nullopt, false).verdict == KeyVerdict::NoHeader);
    CHECK(keys.find("Bearer k1", true).verdict == KeyVerdict::HeaderRepeated);
    for (const char* header : { "", " ", "k1", "Bearer", "Bearer ", "Bearer\t", "Bearerk1", "Basic k1", "Bearer k1 k2",
             "Bearer k1, Bearer k2", "Bearer k1\x01", "Bearer k1\xff" }) {
        CAPTURE(header);
        CHECK(verdictOf(keys, header) == KeyVerdict::Malformed);
    }
    for (const char* header : { "Bearer k", "Bearer k11", "Bearer K1", "Bearer k3", "Bearer \"k1\"" }) {
        CAPTURE(header);
        CHECK(verdictOf(keys, header) == KeyVerdict::UnknownKey);
        CHECK(keys.find(std::string(header), false).account.empty());
    }
    CHECK(verdictOf(AccountKeys(), "Bearer k1") == KeyVerdict::UnknownKey);
}

// Guards against work that is charged to one of two accounts by chance.
TEST_CASE("a key of two accounts is usable by neither, and their other keys are")
{
    const AccountKeys keys({ account("a", { "k1", "both", "k1" }), account("b", { "both", "k2" }) });
    CHECK(verdictOf(keys, "Bearer both") == KeyVerdict::SharedKey);
    CHECK(keys.find("Bearer both", false).account.empty());
    CHECK(verdictOf(keys, "Bearer k1") == KeyVerdict::Found);
    CHECK(verdictOf(keys, "Bearer k2") == KeyVerdict::Found);
    REQUIRE(keys.sharing().size() == 1);
    CHECK(keys.sharing().front() == std::pair(AccountId("a"), AccountId("b")));
}
