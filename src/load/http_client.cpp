#include <curl/curl.h>

#include "load/http_client.h"

#include <algorithm>
#include <cctype>
#include <string_view>
#include <sys/timerfd.h>
#include <unistd.h>

namespace sp::load {

/** @param connectionsPerHost Largest number of connections to one address; calls beyond it wait. */
HttpClient::HttpClient(unsigned connectionsPerHost)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    m_multi = curl_multi_init();
    m_timer = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(connectionsPerHost));
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(connectionsPerHost) * 8);
}

HttpClient::~HttpClient()
{
    for (auto& [handle, active] : m_active) {
        curl_multi_remove_handle(m_multi, handle);
        curl_slist_free_all(active->headers);
        curl_easy_cleanup(handle);
    }
    for (CURL* handle : m_idle)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(m_multi);
    close(m_timer);
}

std::size_t HttpClient::takeBody(char* data, std::size_t size, std::size_t count, void* active)
{
    static_cast<Active*>(active)->reply.body.append(data, size * count);
    return size * count;
}

std::size_t HttpClient::takeHeader(char* data, std::size_t size, std::size_t count, void* active)
{
    constexpr std::string_view name = "sp-request-id:";
    std::string_view line(data, size * count);
    if (line.size() > name.size() && std::equal(name.begin(), name.end(), line.begin(), [](char wanted, char got) {
            return wanted == std::tolower(static_cast<unsigned char>(got));
        })) {
        line.remove_prefix(name.size());
        line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
        static_cast<Active*>(active)->reply.requestId = line.substr(0, line.find_last_not_of("\r\n") + 1);
    }
    return size * count;
}

CURL* HttpClient::takeHandle()
{
    if (m_idle.empty())
        return curl_easy_init();
    CURL* handle = m_idle.back();
    m_idle.pop_back();
    curl_easy_reset(handle);
    return handle;
}

/** Starts a call. @param call Call. @param done Gets the answer, within step(). */
void HttpClient::start(HttpCall call, Done done)
{
    CURL* handle = takeHandle();
    auto active = std::make_unique<Active>();
    active->call = std::move(call);
    active->done = std::move(done);
    // Without this libcurl would wait for "100 Continue" before larger bodies.
    active->headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : active->call.headers)
        active->headers = curl_slist_append(active->headers, header.c_str());
    curl_easy_setopt(handle, CURLOPT_URL, active->call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, active->headers);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &HttpClient::takeBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, active.get());
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &HttpClient::takeHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, active.get());
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(active->call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, 2000L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    if (std::string_view(active->call.method) == "POST") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(active->call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, active->call.body.data());
    } else if (std::string_view(active->call.method) != "GET") {
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, active->call.method);
    }
    m_active.emplace(handle, std::move(active));
    curl_multi_add_handle(m_multi, handle);
}

/** Runs an action later, within step(). @param delay Delay. @param action Action. */
void HttpClient::after(Duration delay, std::function<void()> action)
{
    m_timers.emplace(BootClock::now() + delay, std::move(action));
}

void HttpClient::runTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first <= BootClock::now()) {
        const auto action = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        action();
    }
}

void HttpClient::finish(CURL* handle, int result)
{
    const auto it = m_active.find(handle);
    const std::unique_ptr<Active> active = std::move(it->second);
    m_active.erase(it);
    HttpReply& reply = active->reply;
    long sent = 0;
    long headerBytes = 0;
    curl_off_t received = 0;
    curl_off_t uploaded = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent);
    curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &headerBytes);
    curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &received);
    curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    m_bytesSent += static_cast<std::uint64_t>(sent) + static_cast<std::uint64_t>(uploaded);
    m_bytesReceived += static_cast<std::uint64_t>(received) + static_cast<std::uint64_t>(headerBytes);
    reply.wasSent = sent > 0;
    if (result == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        reply.status = static_cast<int>(status);
    } else {
        reply.error = curl_easy_strerror(static_cast<CURLcode>(result));
    }
    curl_multi_remove_handle(m_multi, handle);
    curl_slist_free_all(active->headers);
    m_idle.push_back(handle);
    active->done(reply);
}

/** Moves calls and timers on. @param longest Longest wait for something to happen. */
void HttpClient::step(Duration longest)
{
    runTimers();
    int running = 0;
    curl_multi_perform(m_multi, &running);
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg == CURLMSG_DONE)
            finish(message->easy_handle, message->data.result);
    }
    Duration wait = longest;
    if (!m_timers.empty())
        wait = std::min(wait, m_timers.begin()->first - BootClock::now());
    wait = std::max(wait, Duration(1));
    // The timeout of curl_multi_poll() has a resolution of 1 ms, too coarse for an even stream of arrivals.
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
    const itimerspec timer { {}, { seconds.count(), static_cast<long>((wait - seconds).count()) } };
    timerfd_settime(m_timer, 0, &timer, nullptr);
    curl_waitfd extra { m_timer, CURL_WAIT_POLLIN, 0 };
    curl_multi_poll(m_multi, &extra, 1, static_cast<int>(toMs(wait)) + 1, nullptr);
}

} // namespace sp::load
