#include "http_client.h"

#include "guard_func.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <mutex>
#include <sys/epoll.h>
#include <unistd.h>

namespace sp {

namespace {

    constexpr std::size_t maxIdleHandles = 1024; ///< Handles kept for reuse; each holds about 5 KB.
    constexpr long maxConnections = 8192; ///< 770 workers with a report and several calls each.
    constexpr std::size_t maxHeaderBytes = 16384; ///< Headers past this size are not kept.

    std::string trimmed(std::string_view text)
    {
        while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())))
            text.remove_prefix(1);
        while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())))
            text.remove_suffix(1);
        return std::string(text);
    }

    std::string lowerCase(std::string text)
    {
        std::transform(
            text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

} // namespace

/** Text as part of a URL. @param text Any bytes. @return Text in which reserved bytes are percent-encoded. */
std::string urlEscaped(const std::string& text)
{
    char* raw = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
    std::string out = raw ? raw : "";
    curl_free(raw);
    return out;
}

/** State of one call and its libcurl handle, which is used again for later calls. */
struct HttpClient::Transfer {
    CURL* easy = curl_easy_init();
    HttpClient* client = nullptr;
    Handle handle = 0;
    HttpRequest request;
    HttpResult result;
    Done done;
    curl_slist* headers = nullptr;
    std::size_t headerBytes = 0;
    std::array<char, CURL_ERROR_SIZE> error {};

    Transfer() = default;
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;
    ~Transfer()
    {
        curl_easy_cleanup(easy);
        curl_slist_free_all(headers);
    }
};

/**
 * Value of a header.
 * @param name Name in lower case.
 * @return Value of the first such header, if any.
 */
std::optional<std::string> HttpResult::header(std::string_view name) const
{
    const auto it
        = std::find_if(headers.begin(), headers.end(), [&](const auto& entry) { return entry.first == name; });
    return it == headers.end() ? std::nullopt : std::optional(it->second);
}

/** @param limits Limits of the connections. */
HttpClient::HttpClient(const Limits& limits)
    : m_limits(limits)
{
    static std::once_flag initialised;
    std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    m_epollFd = epoll_create1(EPOLL_CLOEXEC);
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &HttpClient::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &HttpClient::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxConnections);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, m_limits.maxHostConnections);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

HttpClient::~HttpClient()
{
    for (auto& [handle, transfer] : m_running)
        curl_multi_remove_handle(m_multi, transfer->easy);
    m_running.clear();
    m_idle.clear();
    curl_multi_cleanup(m_multi);
    close(m_epollFd);
}

std::unique_ptr<HttpClient::Transfer> HttpClient::takeTransfer()
{
    if (!m_idle.empty()) {
        auto transfer = std::move(m_idle.back());
        m_idle.pop_back();
        return transfer;
    }
    auto transfer = std::make_unique<Transfer>();
    transfer->client = this;
    CURL* easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(m_limits.maxIdle.count()));
    curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, static_cast<long>(m_limits.maxAge.count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_limits.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &HttpClient::onPrerequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &HttpClient::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &HttpClient::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer->error.data());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    return transfer;
}

void HttpClient::prepare(Transfer& transfer)
{
    CURL* easy = transfer.easy;
    const HttpRequest& request = transfer.request;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    if (request.post) {
        static constexpr const char* nothing = "";
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body ? request.body->data() : nothing);
        curl_easy_setopt(
            easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body ? request.body->size() : 0));
    } else {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    }
    // Without this a large body waits for a "100 Continue" that the server need not send.
    transfer.headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : request.headers)
        transfer.headers = curl_slist_append(transfer.headers, header.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.freshConnection ? 1L : 0L);
}

/**
 * Starts a call. It makes progress in process().
 * @param request Call.
 * @param done Called from process() when the call has ended; not after abort().
 * @return Handle of the call.
 */
HttpClient::Handle HttpClient::start(HttpRequest&& request, Done&& done)
{
    auto transfer = takeTransfer();
    transfer->handle = ++m_lastHandle;
    transfer->request = std::move(request);
    transfer->result = {};
    transfer->done = std::move(done);
    transfer->headerBytes = 0;
    transfer->error[0] = '\0';
    prepare(*transfer);
    curl_multi_add_handle(m_multi, transfer->easy);
    const Handle handle = transfer->handle;
    m_running.emplace(handle, std::move(transfer));
    return handle;
}

/**
 * Ends a call without an answer and closes its connection if it was in use.
 * @param handle Call; one that has ended is ignored.
 */
void HttpClient::abort(Handle handle)
{
    const auto it = m_running.find(handle);
    if (it == m_running.end())
        return;
    auto transfer = std::move(it->second);
    m_running.erase(it);
    curl_multi_remove_handle(m_multi, transfer->easy);
    recycle(std::move(transfer));
}

/** When a running call began to be sent. @param handle Call. @return Time, nothing if it was not sent yet. */
std::optional<Time> HttpClient::sentAt(Handle handle) const
{
    const auto it = m_running.find(handle);
    if (it == m_running.end() || !it->second->result.sent)
        return std::nullopt;
    return it->second->result.sentAt;
}

/** Moves all calls on without waiting, and reports those that have ended. */
void HttpClient::process()
{
    int stillRunning = 0;
    std::array<epoll_event, 256> events {};
    const int count = epoll_wait(m_epollFd, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = events[static_cast<std::size_t>(i)];
        const int flags = (event.events & EPOLLIN ? CURL_CSELECT_IN : 0)
            | (event.events & EPOLLOUT ? CURL_CSELECT_OUT : 0)
            | (event.events & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
        curl_multi_socket_action(m_multi, event.data.fd, flags, &stillRunning);
    }
    if (m_wakeAt && *m_wakeAt <= BootClock::now()) {
        m_wakeAt.reset();
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &stillRunning);
    }
    readFinished();
}

void HttpClient::readFinished()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const CURLcode code = message->data.result;
        Transfer* transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        finish(*transfer, code);
    }
}

void HttpClient::finish(Transfer& transfer, CURLcode code)
{
    const auto it = m_running.find(transfer.handle);
    if (it == m_running.end())
        return;
    auto owned = std::move(it->second);
    m_running.erase(it);
    HttpResult result = std::move(owned->result);
    curl_off_t length = -1;
    curl_off_t received = 0;
    long sent = 0;
    curl_easy_getinfo(owned->easy, CURLINFO_RESPONSE_CODE, &result.status);
    curl_easy_getinfo(owned->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    curl_easy_getinfo(owned->easy, CURLINFO_SIZE_DOWNLOAD_T, &received);
    curl_easy_getinfo(owned->easy, CURLINFO_REQUEST_SIZE, &sent);
    m_bytesReceived += static_cast<std::uint64_t>(received) + owned->headerBytes;
    if (result.sent)
        m_bytesSent += static_cast<std::uint64_t>(sent);
    // The end of a body that only the closing of the connection marks can't be told from a cut.
    const bool framed = length >= 0 || result.header("transfer-encoding").has_value() || result.status == 204;
    result.complete = code == CURLE_OK && framed && result.status >= 200;
    long systemError = 0;
    curl_easy_getinfo(owned->easy, CURLINFO_OS_ERRNO, &systemError);
    result.refused = code == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
    if (!result.complete) {
        result.detail = owned->error[0] != '\0' ? owned->error.data() : curl_easy_strerror(code);
        if (code == CURLE_OK)
            result.detail = "answer without a length";
    }
    const Done done = std::move(owned->done);
    curl_multi_remove_handle(m_multi, owned->easy);
    recycle(std::move(owned));
    runGuarded("answer", [&] { done(std::move(result)); });
}

void HttpClient::recycle(std::unique_ptr<Transfer> transfer)
{
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, nullptr);
    curl_slist_free_all(transfer->headers);
    transfer->headers = nullptr;
    transfer->request = {};
    transfer->result = {};
    transfer->done = nullptr;
    if (m_idle.size() < maxIdleHandles)
        m_idle.push_back(std::move(transfer));
}

int HttpClient::onSocket(CURL* /*easy*/, curl_socket_t socket, int what, void* self, void* /*known*/)
{
    const int epollFd = static_cast<HttpClient*>(self)->m_epollFd;
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(epollFd, EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    epoll_event event {};
    event.data.fd = socket;
    event.events = (what & CURL_POLL_IN ? EPOLLIN : 0U) | (what & CURL_POLL_OUT ? EPOLLOUT : 0U);
    if (epoll_ctl(epollFd, EPOLL_CTL_MOD, socket, &event) != 0)
        epoll_ctl(epollFd, EPOLL_CTL_ADD, socket, &event);
    return 0;
}

int HttpClient::onTimer(CURLM* /*multi*/, long timeoutMs, void* self)
{
    auto& client = *static_cast<HttpClient*>(self);
    if (timeoutMs < 0)
        client.m_wakeAt.reset();
    else
        client.m_wakeAt = BootClock::now() + std::chrono::milliseconds(timeoutMs);
    return 0;
}

/**
 * libcurl calls this when a connection is there and just before it sends; a second time if it wants to repeat. The
 * process may have been suspended since the call was started, and libcurl's clock does not count that time.
 */
int HttpClient::onPrerequest(
    void* transfer, char* /*primaryIp*/, char* /*localIp*/, int /*primaryPort*/, int /*localPort*/)
{
    auto& self = *static_cast<Transfer*>(transfer);
    const Time now = BootClock::now();
    if (self.result.sent || (self.request.sendBefore != Time {} && now >= self.request.sendBefore))
        return CURL_PREREQFUNC_ABORT;
    self.result.sent = true;
    self.result.sentAt = now;
    return CURL_PREREQFUNC_OK;
}

std::size_t HttpClient::onBody(char* data, std::size_t size, std::size_t count, void* transfer)
{
    auto& self = *static_cast<Transfer*>(transfer);
    const std::size_t bytes = size * count;
    if (self.request.onData)
        return self.request.onData(std::string_view(data, bytes)) ? bytes : 0;
    if (self.result.body.size() + bytes > self.client->m_limits.maxBody)
        return 0;
    self.result.body.append(data, bytes);
    return bytes;
}

std::size_t HttpClient::onHeader(char* data, std::size_t size, std::size_t count, void* transfer)
{
    auto& self = *static_cast<Transfer*>(transfer);
    const std::string_view line(data, size * count);
    self.headerBytes += line.size();
    if (line.starts_with("HTTP/")) {
        self.result.headers.clear();
    } else if (const auto colon = line.find(':');
               colon != std::string_view::npos && self.headerBytes <= maxHeaderBytes) {
        self.result.headers.emplace_back(lowerCase(trimmed(line.substr(0, colon))), trimmed(line.substr(colon + 1)));
    }
    return line.size();
}

} // namespace sp
