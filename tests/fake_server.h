/** @file fake_server.h HTTP server on a free loopback port whose answers are raw bytes, so that it can misbehave. */
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/** Each connection has a thread. The handler gets one request and returns raw bytes; empty: closes without an answer.
 */
class FakeServer {
public:
    using Handler = std::function<std::string(const std::string& head, const std::string& body)>;

    explicit FakeServer(Handler handler)
        : m_handler(std::move(handler))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        listen(m_listener, 1024);
        m_acceptor = std::thread([this] { accept(); });
    }
    FakeServer(const FakeServer&) = delete;
    FakeServer& operator=(const FakeServer&) = delete;
    ~FakeServer()
    {
        m_stop = true;
        m_acceptor.join();
        for (std::thread& thread : m_threads)
            thread.join();
        close(m_listener);
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    int connections() const { return m_connections; }
    int requests() const { return m_requests; }
    bool stopped() const { return m_stop; }

    static std::string answer(int status, const std::string& body, const std::string& headers = {})
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
            + headers + "\r\n" + body;
    }

private:
    bool readable(int fd) const
    {
        while (!m_stop) {
            pollfd waitFor { fd, POLLIN, 0 };
            if (poll(&waitFor, 1, 10) > 0)
                return true;
        }
        return false;
    }
    void accept()
    {
        while (readable(m_listener)) {
            const int fd = ::accept(m_listener, nullptr, nullptr);
            ++m_connections;
            m_threads.emplace_back([this, fd] {
                serve(fd);
                close(fd);
            });
        }
    }
    void serve(int fd)
    {
        std::string input;
        char buffer[65536];
        while (readable(fd)) {
            const ssize_t count = read(fd, buffer, sizeof buffer);
            if (count <= 0)
                return;
            input.append(buffer, static_cast<std::size_t>(count));
            const auto end = input.find("\r\n\r\n");
            if (end == std::string::npos)
                continue;
            const std::string head = input.substr(0, end + 4);
            const auto field = head.find("Content-Length: ");
            const std::size_t length = field == std::string::npos ? 0 : std::stoul(head.substr(field + 16));
            if (input.size() < head.size() + length)
                continue;
            ++m_requests;
            const std::string out = m_handler(head, input.substr(head.size(), length));
            input.erase(0, head.size() + length);
            if (out.empty() || write(fd, out.data(), out.size()) < 0)
                return;
            if (out.find("Content-Length: 999999") != std::string::npos) // An answer that is cut short.
                return;
        }
    }

    const Handler m_handler;
    const int m_listener;
    int m_port = 0;
    std::atomic<bool> m_stop { false };
    std::atomic<int> m_connections { 0 };
    std::atomic<int> m_requests { 0 };
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};
