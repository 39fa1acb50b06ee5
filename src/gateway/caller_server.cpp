#include "gateway/caller_server.h"

#include "socket_address.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

namespace sp {

namespace {

    constexpr unsigned idleTimeoutSeconds = 30; ///< A connection without progress for this time is closed.
    constexpr std::chrono::seconds uploadLimit { 30 }; ///< A request that arrives in tiny pieces is cut off after it.
    constexpr std::size_t maxHeldBytes = 128UL * 1024 * 1024; ///< Half of the memory that the process may take.
    constexpr std::size_t maxReserve = 64UL * 1024; ///< A declared length is not believed further than this.
    constexpr unsigned connectionLimit = 20000;
    constexpr std::size_t connectionMemory = 64UL * 1024; ///< Read buffer of a connection, and its largest header.
    constexpr std::size_t discardFactor = 4; ///< A body declared this many times the limit is not read.

    std::string headerOf(MHD_Connection* connection, const char* name, MHD_ValueKind kind = MHD_HEADER_KIND)
    {
        const char* value = MHD_lookup_connection_value(connection, kind, name);
        return value ? value : "";
    }

    CallerFields fieldsOf(MHD_Connection* connection)
    {
        CallerFields fields;
        fields.caller = headerOf(connection, "Sp-Caller");
        fields.team = headerOf(connection, "Sp-Team");
        fields.idempotencyKey = headerOf(connection, "Idempotency-Key");
        fields.clientId = headerOf(connection, "Sp-Client-Id");
        fields.deadlineMs = headerOf(connection, "Sp-Deadline-Ms");
        fields.waitMs = headerOf(connection, "wait_ms", MHD_GET_ARGUMENT_KIND);
        return fields;
    }

    std::size_t declaredLength(MHD_Connection* connection)
    {
        const std::string text = headerOf(connection, "Content-Length");
        std::size_t length = 0;
        std::from_chars(text.data(), text.data() + text.size(), length);
        return length;
    }

    void freePayload(void* payload) { delete static_cast<Payload*>(payload); }

    MHD_Response* makeResponse(const CallerAnswer& answer)
    {
        static const Payload nothing = std::make_shared<const std::string>();
        auto* body = new Payload(answer.body ? answer.body : nothing);
        return MHD_create_response_from_buffer_with_free_callback_cls(
            (*body)->size(), const_cast<char*>((*body)->data()), &freePayload, body);
    }

    CallerAnswer plainAnswer(int status, std::string text)
    {
        CallerAnswer answer;
        answer.status = status;
        answer.contentType = "text/plain; charset=utf-8";
        answer.body = std::make_shared<const std::string>(std::move(text));
        return answer;
    }

} // namespace

/** State of one request, from its first header to the end of its answer. */
struct CallerServer::Call {
    CallerRoute route;
    std::optional<CallerProblem> problem;
    std::string body;
    std::size_t received = 0;
    std::size_t held = 0; ///< Bytes of the body that are counted as held.
    Time startedAt {};
    bool submitted = false;
    AnswerMessage answer; ///< Set by the link's thread before it resumes the connection.
};

/** Functions that libmicrohttpd calls. */
struct CallerServer::Callbacks {
    static MHD_Result access(void* server, MHD_Connection* connection, const char* url, const char* method,
        const char* /*version*/, const char* data, std::size_t* size, void** state)
    {
        auto& self = *static_cast<CallerServer*>(server);
        if (!*state) {
            Call* call = self.open(connection, url, method);
            *state = call;
            // Before the body is read: a body far past the limit is not worth reading.
            if (call->problem && call->problem->error == ErrorKind::TooLarge)
                return static_cast<MHD_Result>(self.answerProblem(connection, *call, *call->problem));
            return MHD_YES;
        }
        auto& call = *static_cast<Call*>(*state);
        if (*size > 0)
            return static_cast<MHD_Result>(self.receive(call, data, *size));
        return static_cast<MHD_Result>(self.complete(connection, call));
    }

    static void completed(
        void* server, MHD_Connection* /*connection*/, void** state, MHD_RequestTerminationCode /*why*/)
    {
        auto& self = *static_cast<CallerServer*>(server);
        if (!*state)
            return;
        self.m_heldBytes.fetch_sub(static_cast<Call*>(*state)->held);
        delete static_cast<Call*>(*state);
        *state = nullptr;
        self.m_active.fetch_sub(1);
    }
};

/**
 * @param config What the server needs to know about its process.
 * @param table Requests in flight.
 * @param metrics Registry that /metrics shows.
 */
CallerServer::CallerServer(CallerServerConfig config, RequestTable& table, Metrics& metrics)
    : m_config(std::move(config))
    , m_table(table)
    , m_metrics(metrics)
    , m_latency(metrics.histogram("sp_request_seconds", "Time from a request's headers to its answer."))
    , m_wait(metrics.histogram("sp_wait_seconds", "Wait of prompt requests before their start."))
{
    for (std::size_t i = 0; i < m_requests.size(); ++i)
        m_requests[i] = &metrics.counter(
            std::string("sp_requests_total{call=\"") + callerVerbName(static_cast<CallerVerb>(i)) + "\"}",
            "Requests by call.");
    for (std::size_t i = 0; i < m_answers.size(); ++i)
        m_answers[i] = &metrics.counter(
            "sp_answers_total{kind=\"" + std::string(errorInfo(static_cast<ErrorKind>(i)).name) + "\"}",
            "Answers by error kind.");
}

CallerServer::~CallerServer() { stop(); }

/** Opens the port. @param problem Set to the reason of a failure. @return False if the address can't be used. */
bool CallerServer::start(std::string& problem)
{
    const SocketAddress address = parseSocketAddress(m_config.listen);
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    if (address.storage.ss_family == AF_INET6)
        flags |= MHD_USE_IPv6;
    m_daemon
        = MHD_start_daemon(flags, 0, nullptr, nullptr, &Callbacks::access, this, MHD_OPTION_SOCK_ADDR, address.get(),
            MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::completed, this, MHD_OPTION_CONNECTION_TIMEOUT, idleTimeoutSeconds,
            MHD_OPTION_CONNECTION_LIMIT, connectionLimit, MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemory,
            MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_THREAD_POOL_SIZE, m_config.threads, MHD_OPTION_END);
    if (!m_daemon) {
        problem = std::strerror(errno);
        return false;
    }
    const MHD_DaemonInfo* info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
    m_boundAddress = addressHost(m_config.listen) + ":" + std::to_string(info ? info->port : 0);
    return true;
}

/** Accepts no new connections; requests on open ones are answered with `draining`. */
void CallerServer::stopAccepting()
{
    m_draining = true;
    if (const int socket = MHD_quiesce_daemon(m_daemon); socket != MHD_INVALID_SOCKET)
        close(socket);
}

/** Closes all connections. No request may wait for an answer any more. */
void CallerServer::stop()
{
    if (m_daemon)
        MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
}

RequestId CallerServer::nextId()
{
    const std::uint64_t sequence = m_sequence.fetch_add(1, std::memory_order_relaxed) + 1;
    char text[40];
    std::snprintf(text, sizeof text, "-%016llx-%llu", static_cast<unsigned long long>(m_config.incarnation.value),
        static_cast<unsigned long long>(sequence));
    return RequestId(m_config.host.value + text);
}

CallerServer::Call* CallerServer::open(MHD_Connection* connection, const char* url, const char* method)
{
    m_active.fetch_add(1);
    auto call = std::make_unique<Call>();
    call->startedAt = BootClock::now();
    auto parsed = parseCallerRoute(method, url);
    if (auto* problem = std::get_if<CallerProblem>(&parsed)) {
        call->problem = std::move(*problem);
        return call.release();
    }
    call->route = std::move(std::get<CallerRoute>(parsed));
    m_requests[static_cast<std::size_t>(call->route.verb)]->add();
    const std::size_t length = declaredLength(connection);
    if (length > call->route.bodyLimit * discardFactor && length > maxJobBytes)
        call->problem = CallerProblem { ErrorKind::TooLarge,
            "the body may have " + std::to_string(call->route.bodyLimit) + " bytes at most" };
    else
        call->body.reserve(std::min({ length, call->route.bodyLimit, maxReserve }));
    return call.release();
}

/**
 * Takes a piece of the body. Past the limit it is read and dropped, so that the caller sees the answer. libmicrohttpd
 * can't answer in the middle of a body, so a body that takes too long only ends the connection.
 */
int CallerServer::receive(Call& call, const char* data, std::size_t& size)
{
    call.received += size;
    if (BootClock::now() - call.startedAt > uploadLimit)
        return MHD_NO;
    if (call.received <= call.route.bodyLimit && !call.problem) {
        call.held += size;
        if (m_heldBytes.fetch_add(size) + size > maxHeldBytes) {
            call.problem = CallerProblem { ErrorKind::QueueFull, "the gateway holds too many bytes of other requests" };
            std::string().swap(call.body);
        } else {
            call.body.append(data, size);
        }
    }
    size = 0;
    return MHD_YES;
}

int CallerServer::complete(MHD_Connection* connection, Call& call)
{
    if (call.submitted) {
        if (call.route.verb == CallerVerb::SubmitPrompt && call.answer.error == ErrorKind::Ok)
            m_wait.record(call.answer.wait);
        m_answers[static_cast<std::size_t>(call.answer.error)]->add();
        return answer(connection, call, makeCallerAnswer(call.route.verb, call.answer));
    }
    if (call.problem)
        return answerProblem(connection, call, *call.problem);
    if (call.route.bodyLimit == 0 && call.route.verb >= CallerVerb::Health)
        return answerLocally(connection, call);
    if (call.received > call.route.bodyLimit)
        return answerProblem(connection, call,
            { ErrorKind::TooLarge, "the body may have " + std::to_string(call.route.bodyLimit) + " bytes at most" });
    if (m_draining)
        return answerProblem(connection, call, { ErrorKind::Draining, {} });
    const RequestId id = nextId();
    auto message = parseCallerMessage(call.route, fieldsOf(connection), std::move(call.body), id, BootClock::now());
    if (const auto* problem = std::get_if<CallerProblem>(&message))
        return answerProblem(connection, call, *problem);
    submit(connection, call, std::move(std::get<LinkMessage>(message)));
    return MHD_YES;
}

/** Suspends the connection first: the answer may come, and resume it, before submit returns. */
void CallerServer::submit(MHD_Connection* connection, Call& call, LinkMessage&& message)
{
    call.submitted = true;
    MHD_suspend_connection(connection);
    const RequestId id = requestIdOf(message);
    m_table.submit(
        id, std::move(message),
        [connection, &call](AnswerMessage&& answer) {
            call.answer = std::move(answer);
            MHD_resume_connection(connection);
        },
        BootClock::now());
}

int CallerServer::answerLocally(MHD_Connection* connection, Call& call)
{
    switch (call.route.verb) {
    case CallerVerb::Health:
        return answer(connection, call, plainAnswer(200, "ok\n"));
    case CallerVerb::Ready:
        if (m_draining)
            return answer(connection, call, plainAnswer(503, "draining\n"));
        if (!m_table.ready(BootClock::now()))
            return answer(connection, call, plainAnswer(503, "no scheduler is ready\n"));
        return answer(connection, call, plainAnswer(200, "ready\n"));
    default:
        break;
    }
    CallerAnswer metrics = plainAnswer(200, m_metrics.prometheusText());
    metrics.contentType = "text/plain; version=0.0.4";
    return answer(connection, call, std::move(metrics));
}

int CallerServer::answerProblem(MHD_Connection* connection, Call& call, const CallerProblem& problem)
{
    m_answers[static_cast<std::size_t>(problem.error)]->add();
    return answer(connection, call, makeCallerError(nextId(), problem.error, problem.detail));
}

int CallerServer::answer(MHD_Connection* connection, Call& call, CallerAnswer&& answer)
{
    MHD_Response* response = makeResponse(answer);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.contentType.c_str());
    for (const auto& [name, value] : answer.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    if (m_draining)
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    const MHD_Result queued = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    if (call.route.verb < CallerVerb::Health)
        m_latency.record(BootClock::now() - call.startedAt);
    return queued;
}

} // namespace sp
