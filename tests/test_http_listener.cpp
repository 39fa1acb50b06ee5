#include "doctest_main.h"

#include "guard_func.h"
#include "http_client.h"
#include "http_listener.h"

#include <poll.h>
#include <stdexcept>

using namespace sp;
using namespace std::chrono_literals;

TEST_CASE("a listener ends while a call still waits for its answer")
{
    HttpClient client(HttpClient::Limits {});
    HttpListener::Reply held;
    bool ended = false;
    {
        HttpListener listener(
            { "127.0.0.1:0", {} }, [&](ServedCall&&, HttpListener::Reply reply) { held = std::move(reply); });
        std::string problem;
        REQUIRE(listener.start(problem));
        HttpRequest request;
        request.url = "http://127.0.0.1:" + std::to_string(listener.port()) + "/x";
        request.timeout = 5s;
        client.start(std::move(request), [&](HttpResult&& result) {
            ended = true;
            CHECK_FALSE(result.complete);
        });
        for (int i = 0; i < 1000 && !held; ++i) {
            client.process();
            listener.process();
            pollfd wait { listener.fd(), POLLIN, 0 };
            poll(&wait, 1, 5);
        }
        REQUIRE(held);
        CHECK(listener.openCalls() == 1);
    }
    for (int i = 0; i < 1000 && !ended; ++i) {
        client.process();
        pollfd wait { client.fd(), POLLIN, 0 };
        poll(&wait, 1, 5);
    }
    CHECK(ended);
    held({ 200, {}, "text/plain", {} }); // Too late; nobody is there any more.
}

namespace {

/** Sends a request to a listener and runs both until the call has ended. */
HttpResult callListener(HttpListener& listener, HttpClient& client, HttpRequest&& request)
{
    std::optional<HttpResult> ended;
    request.url = "http://127.0.0.1:" + std::to_string(listener.port()) + "/x";
    request.timeout = 5s;
    client.start(std::move(request), [&](HttpResult&& result) { ended = std::move(result); });
    for (int i = 0; i < 1000 && !ended; ++i) {
        client.process();
        listener.process();
        pollfd wait { listener.fd(), POLLIN, 0 };
        poll(&wait, 1, 5);
    }
    REQUIRE(ended);
    return std::move(*ended);
}

} // namespace

TEST_CASE("a request whose handler throws gets an error, and the next one is served")
{
    HttpClient client(HttpClient::Limits {});
    bool throwing = true;
    HttpListener listener({ "127.0.0.1:0", {} }, [&](ServedCall&&, const HttpListener::Reply& reply) {
        if (throwing)
            throw std::runtime_error("unexpected");
        reply({ 200, {}, "text/plain", {} });
    });
    std::string problem;
    REQUIRE(listener.start(problem));
    const std::uint64_t before = callbackFailures();
    CHECK(callListener(listener, client, {}).status == 500);
    CHECK(callbackFailures() == before + 1);
    throwing = false;
    CHECK(callListener(listener, client, {}).status == 200);
}

TEST_CASE("an answer whose callback throws does not keep the client from further calls")
{
    HttpClient client(HttpClient::Limits {});
    HttpListener listener({ "127.0.0.1:0", {} }, [&](ServedCall&&, const HttpListener::Reply& reply) {
        reply({ 200, {}, "text/plain", {} });
    });
    std::string problem;
    REQUIRE(listener.start(problem));
    HttpRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(listener.port()) + "/x";
    bool called = false;
    client.start(std::move(request), [&](HttpResult&&) {
        called = true;
        throw std::runtime_error("unexpected");
    });
    CHECK(callListener(listener, client, {}).status == 200);
    CHECK(called);
}

// The process may be suspended between the start of a call and its sending.
TEST_CASE("a call is not sent once its permission has ended")
{
    HttpClient client(HttpClient::Limits {});
    int served = 0;
    HttpListener listener({ "127.0.0.1:0", {} }, [&](ServedCall&&, const HttpListener::Reply& reply) {
        ++served;
        reply({ 200, {}, "text/plain", {} });
    });
    std::string problem;
    REQUIRE(listener.start(problem));
    HttpRequest late;
    late.sendBefore = BootClock::now();
    const HttpResult result = callListener(listener, client, std::move(late));
    CHECK_FALSE(result.sent);
    CHECK_FALSE(result.complete);
    CHECK(served == 0);
    HttpRequest timely;
    timely.sendBefore = BootClock::now() + 5s;
    CHECK(callListener(listener, client, std::move(timely)).status == 200);
}

// Guards against a request whose key is not certain: libmicrohttpd returns the first of several headers.
TEST_CASE("a listener passes kept headers on and marks those that were sent twice")
{
    HttpClient client(HttpClient::Limits {});
    ServedCall seen;
    HttpListener listener({ "127.0.0.1:0", { "Authorization", "Deadline-Ms" } },
        [&](ServedCall&& call, const HttpListener::Reply& reply) {
            seen = std::move(call);
            reply({ 401, {}, "text/plain", {} });
        });
    std::string problem;
    REQUIRE(listener.start(problem));
    HttpRequest request;
    request.headers = { "authorization: Bearer a", "Deadline-Ms: 5", "AUTHORIZATION: Bearer b", "Other: x" };
    const HttpResult result = callListener(listener, client, std::move(request));
    CHECK(result.header("www-authenticate") == std::optional<std::string>("Bearer"));
    CHECK(seen.header("Authorization") == "Bearer a");
    CHECK(seen.header("Deadline-Ms") == "5");
    CHECK(seen.headers.size() == 2);
    CHECK(seen.repeatedHeaders == std::set<std::string> { "Authorization" });
}
