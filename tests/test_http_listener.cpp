#include "doctest_main.h"

#include "guard_func.h"
#include "http_client.h"
#include "http_listener.h"

#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

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

namespace {

constexpr std::size_t kib = 1024;

/** A listener with counts of what it served, driven together with raw connections of clients. */
struct ServedWorld {
    explicit ServedWorld(HttpListenerConfig config)
        : listener(std::move(config), [this](ServedCall&& call, HttpListener::Reply reply) {
            bodies.push_back(std::move(call.body));
            if (holdsAnswers)
                held.push_back(std::move(reply));
            else
                reply({ 200, "{}", "application/json", {} });
        })
    {
        std::string problem;
        REQUIRE(listener.start(problem));
    }

    void run(std::chrono::milliseconds duration)
    {
        for (const Time end = BootClock::now() + duration; BootClock::now() < end;)
            turn();
    }

    void turn()
    {
        listener.process();
        const Time now = BootClock::now();
        if (const auto due = listener.wakeAt(now); due && *due <= now)
            return; // What was read earlier is still to be handled.
        pollfd wait { listener.fd(), POLLIN, 0 };
        poll(&wait, 1, 2);
    }

    bool holdsAnswers = false;
    std::vector<std::string> bodies;
    std::vector<HttpListener::Reply> held;
    HttpListener listener;
};

/** A connection whose bytes the test chooses. */
class RawClient {
public:
    explicit RawClient(ServedWorld& world)
        : m_world(world)
        , m_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(world.listener.port());
        REQUIRE(
            (connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 || errno == EINPROGRESS));
        pollfd wait { m_fd, POLLOUT, 0 };
        REQUIRE(poll(&wait, 1, 1000) == 1);
    }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;
    ~RawClient() { close(m_fd); }

    /** Sends all bytes while the listener runs. Returns false if the connection ended before. */
    bool send(const std::string& text)
    {
        std::size_t sent = 0;
        for (int i = 0; i < 2000 && sent < text.size(); ++i) {
            const ssize_t size = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (size < 0 && errno != EAGAIN)
                return false;
            sent += size > 0 ? static_cast<std::size_t>(size) : 0;
            m_world.turn();
        }
        m_world.run(10ms);
        return sent == text.size();
    }

    /** Returns what has arrived after at most a time, at once when an answer or the end of the connection is there. */
    std::string receive(std::chrono::milliseconds limit = 2000ms)
    {
        std::string text;
        for (const Time end = BootClock::now() + limit; BootClock::now() < end && !m_ended;) {
            m_world.turn();
            std::array<char, 4096> buffer {};
            const ssize_t size = recv(m_fd, buffer.data(), buffer.size(), 0);
            if (size > 0)
                text.append(buffer.data(), static_cast<std::size_t>(size));
            m_ended = size == 0 || (size < 0 && errno != EAGAIN);
            if (text.find("\r\n\r\n") != std::string::npos)
                break;
        }
        return text;
    }

    /** Returns whether the connection ends within a time. */
    bool endsWithin(std::chrono::milliseconds limit)
    {
        for (const Time end = BootClock::now() + limit; BootClock::now() < end && !m_ended;)
            receive(20ms);
        return m_ended;
    }

private:
    ServedWorld& m_world;
    int m_fd;
    bool m_ended = false;
};

std::string announced(std::size_t size)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

const std::string inChunks = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string plainGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

std::string chunk(std::size_t size)
{
    std::array<char, 24> head {};
    std::snprintf(head.data(), head.size(), "%zx\r\n", size);
    return head.data() + std::string(size, 'x') + "\r\n";
}

int statusOf(const std::string& answer) { return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3)); }

HttpListenerConfig limited(ByteBudget* budget = nullptr)
{
    HttpListenerConfig config { "127.0.0.1:0", {} };
    config.limits.maxBody = 256 * kib;
    config.use = ByteUse::Callers;
    config.budget = budget;
    return config;
}

} // namespace

// Guards against a listener that reads a body over the limit to its end before it refuses it.
TEST_CASE("an announced body over the limit is refused before it is sent")
{
    ServedWorld world(limited());
    RawClient client(world);
    client.send(announced(256 * kib + 1));
    const std::string answer = client.receive();
    CHECK(statusOf(answer) == 413);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(client.endsWithin(2s));
    CHECK(world.bodies.empty());
    CHECK(world.listener.ended(EndReason::BodyAnnounced) == 1);
}

// Guards against a reset while the client still sends: many clients then give up without reading the answer.
TEST_CASE("a client that sends a refused body is not interrupted at once")
{
    ServedWorld world(limited());
    RawClient client(world);
    CHECK(client.send(announced(300 * kib)));
    for (int i = 0; i < 5; ++i)
        CHECK(client.send(std::string(60 * kib, 'x')));
    CHECK(statusOf(client.receive()) == 413);
    CHECK(client.endsWithin(2s));
}

// Guards against bodies without an announced size that take memory without limit.
TEST_CASE("a connection ends when a body in chunks passes the limit")
{
    ByteBudget budget(byteBudgetLimits(40 * kib * kib));
    ServedWorld world(limited(&budget));
    RawClient client(world);
    client.send(inChunks);
    for (int i = 0; i < 4; ++i)
        CHECK(client.send(chunk(64 * kib)));
    client.send(chunk(1));
    CHECK(client.endsWithin(2s));
    CHECK(world.bodies.empty());
    CHECK(budget.held() == 0);
    CHECK(world.listener.ended(EndReason::BodyReceived) == 1);
}

TEST_CASE("bodies up to the limit arrive whole, announced and in chunks")
{
    ByteBudget budget(byteBudgetLimits(40 * kib * kib));
    ServedWorld world(limited(&budget));
    RawClient first(world);
    first.send(announced(256 * kib) + std::string(256 * kib, 'x'));
    CHECK(statusOf(first.receive()) == 200);
    RawClient second(world);
    second.send(inChunks + chunk(64 * kib) + chunk(1) + chunk(128 * kib) + chunk(64 * kib - 1) + "0\r\n\r\n");
    CHECK(statusOf(second.receive()) == 200);
    REQUIRE(world.bodies.size() == 2);
    CHECK(world.bodies[0] == std::string(256 * kib, 'x'));
    CHECK(world.bodies[1] == world.bodies[0]);
}

// Guards against answers that release the memory of requests whose decoded job still exists.
TEST_CASE("a request holds its bytes until it is answered")
{
    ByteBudget budget(byteBudgetLimits(40 * kib * kib));
    ServedWorld world(limited(&budget));
    world.holdsAnswers = true;
    RawClient client(world);
    client.send(announced(100 * kib) + std::string(100 * kib, 'x'));
    REQUIRE(world.held.size() == 1);
    CHECK(budget.held() >= 100 * kib);
    world.held[0]({ 200, {}, "text/plain", {} });
    CHECK(statusOf(client.receive()) == 200);
    world.run(20ms);
    CHECK(budget.held() < 100 * kib);
}

// Guards against a crowd of large bodies that displaces ordinary requests, and against refusals of what was run.
TEST_CASE("without room a large body is refused with nothing run, and small requests and other hosts are served")
{
    ByteBudget budget({ 800 * kib, 200 * kib, 150 * kib });
    ServedWorld world(limited(&budget));
    HttpListenerConfig cellConfig { "127.0.0.1:0", {} };
    cellConfig.budget = &budget;
    ServedWorld cell(cellConfig);
    RawClient uploading(world);
    uploading.send(announced(256 * kib) + std::string(256 * kib - 1, 'x'));
    RawClient refused(world);
    refused.send(announced(256 * kib));
    const std::string answer = refused.receive();
    CHECK(statusOf(answer) == 503);
    CHECK(answer.find("Retry-After: 1") != std::string::npos);
    CHECK(answer.find("nothing was run") != std::string::npos);
    CHECK(world.bodies.empty());
    CHECK(world.listener.ended(EndReason::NoRoom) == 1);
    RawClient chunks(world);
    chunks.send(inChunks + chunk(64 * kib) + chunk(64 * kib) + chunk(64 * kib) + chunk(64 * kib - 1));
    CHECK(chunks.endsWithin(2s));
    CHECK(world.listener.ended(EndReason::NoRoomReceiving) == 1);
    RawClient ordinary(world);
    ordinary.send(announced(1000) + std::string(1000, 'x'));
    CHECK(statusOf(ordinary.receive()) == 200);
    RawClient peer(cell);
    peer.send(announced(200 * kib) + std::string(200 * kib, 'x'));
    CHECK(statusOf(peer.receive()) == 200);
    CHECK(uploading.send("x"));
    CHECK(statusOf(uploading.receive()) == 200);
}

// Guards against stalled uploads that hold the budget until their time limit.
TEST_CASE("a stalled body is ended in favour of a new one")
{
    ByteBudget budget({ 800 * kib, 200 * kib, 150 * kib });
    ServedWorld world(limited(&budget));
    RawClient stalled(world);
    stalled.send(announced(256 * kib) + std::string(256 * kib - 1, 'x'));
    world.run(1100ms);
    RawClient client(world);
    client.send(announced(256 * kib) + std::string(256 * kib, 'x'));
    CHECK(statusOf(client.receive()) == 200);
    CHECK(stalled.endsWithin(1s));
    CHECK(world.bodies.size() == 1);
    CHECK(world.listener.ended(EndReason::Displaced) == 1);
}

// Guards against unfinished headers that keep connections, and against closing idle ones too early.
TEST_CASE("headers have a shorter time limit than idle connections")
{
    HttpListenerConfig config = limited();
    config.limits.headerTimeout = 100ms;
    config.limits.idleTimeout = 2500ms;
    ServedWorld world(config);
    RawClient idle(world);
    RawClient unfinished(world);
    unfinished.send("GET /x HTTP/1.1\r\nHost:");
    CHECK(unfinished.endsWithin(1500ms));
    CHECK_FALSE(idle.endsWithin(20ms));
    CHECK(world.listener.ended(EndReason::HeaderTime) == 1);
    RawClient kept(world);
    kept.send(plainGet);
    CHECK(statusOf(kept.receive()) == 200);
    CHECK_FALSE(kept.endsWithin(1000ms)); // Its answered request is no unfinished header.
    kept.send("GET /x HTTP/1.1\r\nHost:");
    CHECK(kept.endsWithin(1500ms));
    CHECK(world.listener.ended(EndReason::HeaderTime) == 2);
    CHECK(idle.endsWithin(4s));
    CHECK(world.listener.ended(EndReason::Idle) == 1);
}

// Guards against bodies sent a byte at a time, which always make progress.
TEST_CASE("a body has a time limit as a whole")
{
    HttpListenerConfig config = limited();
    config.limits.bodyTimeout = 300ms;
    ServedWorld world(config);
    RawClient client(world);
    client.send(announced(1000));
    bool open = true;
    for (int i = 0; i < 150 && open; ++i)
        open = client.send("x");
    CHECK_FALSE(open);
    CHECK(world.bodies.empty());
    CHECK(world.listener.ended(EndReason::BodyTime) == 1);
}

// Guards against a crowd of connections that keeps new ones out or takes all descriptors.
TEST_CASE("beyond the limit of connections those that were never served are closed")
{
    HttpListenerConfig config = limited();
    config.maxConnections = 20;
    ServedWorld world(config);
    RawClient kept(world);
    kept.send(plainGet);
    CHECK(statusOf(kept.receive()) == 200);
    std::vector<std::unique_ptr<RawClient>> crowd;
    for (int i = 0; i < 80; ++i) {
        crowd.push_back(std::make_unique<RawClient>(world));
        crowd.back()->send("GET /x HTTP/1.1\r\n");
    }
    CHECK(world.listener.openConnections() <= 20);
    CHECK(world.listener.ended(EndReason::Connections) == 61);
    RawClient ordinary(world);
    ordinary.send(plainGet);
    CHECK(statusOf(ordinary.receive()) == 200);
    kept.send(plainGet);
    CHECK(statusOf(kept.receive()) == 200);
}

// Guards against a buffer that is too small for legal headers.
TEST_CASE("headers up to the limit are served, longer ones refused")
{
    ServedWorld world(limited());
    const auto request = [](std::size_t lines) {
        std::string text = "GET /x HTTP/1.1\r\nHost: h\r\n";
        for (std::size_t i = 0; i < lines; ++i)
            text += "X-Fill-" + std::to_string(10 + i) + ": " + std::string(499, 'x') + "\r\n"; // 512 bytes.
        return text + "\r\n";
    };
    RawClient legal(world);
    legal.send(request(31));
    CHECK(statusOf(legal.receive()) == 200);
    RawClient longer(world);
    longer.send(request(33));
    CHECK(statusOf(longer.receive()) == 431);
    CHECK(longer.endsWithin(2s));
    CHECK(world.bodies.size() == 1);
    CHECK(world.listener.ended(EndReason::HeaderSize) == 1);
}

TEST_CASE("new limits apply to the next request")
{
    ServedWorld world(limited());
    RawClient client(world);
    client.send(announced(1000) + std::string(1000, 'x'));
    CHECK(statusOf(client.receive()) == 200);
    RequestLimits limits;
    limits.maxBody = 999;
    world.listener.setLimits(limits);
    client.send(announced(1000) + std::string(1000, 'x'));
    CHECK(statusOf(client.receive()) == 413);
}

// Guards against a crowd of connections in unusual states that the daemon can't be stopped with.
TEST_CASE("a listener ends with connections in every state")
{
    ByteBudget budget(byteBudgetLimits(40 * kib * kib));
    std::vector<std::unique_ptr<RawClient>> clients;
    {
        ServedWorld world(limited(&budget));
        world.holdsAnswers = true;
        for (const std::string& text :
            { std::string(), std::string("GET /x"), announced(100) + "x", inChunks + chunk(5000), plainGet,
                announced(10 * kib) + std::string(10 * kib, 'x'), announced(300 * kib) }) {
            clients.push_back(std::make_unique<RawClient>(world));
            clients.back()->send(text);
        }
        CHECK(world.held.size() == 2);
    }
    CHECK(budget.held() == 0);
}
