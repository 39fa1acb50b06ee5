#include "doctest_main.h"

#include "http_client.h"
#include "http_listener.h"

#include <poll.h>

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
