#include "doctest_main.h"
#include "log_func.h"
#include "log_line.h"

#include <array>
#include <climits>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace sp;

namespace {

/** Replaces standard output by a socket that keeps the boundaries of writes. */
class CapturedOutput {
public:
    CapturedOutput()
        : m_formerOutput(dup(STDOUT_FILENO))
    {
        REQUIRE(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, m_sockets.data()) == 0);
        dup2(m_sockets[0], STDOUT_FILENO);
    }
    CapturedOutput(const CapturedOutput&) = delete;
    CapturedOutput& operator=(const CapturedOutput&) = delete;
    ~CapturedOutput() { restore(); }

    /** Restores standard output and returns the writes that were made to the socket. */
    std::vector<std::string> writes()
    {
        restore();
        std::vector<std::string> found;
        std::string buffer(1U << 20U, ' ');
        while (true) {
            const ssize_t size = recv(m_sockets[1], buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size <= 0)
                return found;
            found.push_back(buffer.substr(0, static_cast<std::size_t>(size)));
        }
    }

private:
    void restore()
    {
        if (m_formerOutput < 0)
            return;
        dup2(m_formerOutput, STDOUT_FILENO);
        close(std::exchange(m_formerOutput, -1));
        close(m_sockets[0]);
    }

    std::array<int, 2> m_sockets {};
    int m_formerOutput = -1;
};

} // namespace

// A collector that reads blocks of 8 KB lost the rest of each batch, and the cut line ran into the next batch.
TEST_CASE("log lines are written in groups of whole lines that a pipe keeps together")
{
    CapturedOutput output;
    startLog("test_log", LogSink::StandardOutput);
    constexpr int lineCount = 200;
    for (int i = 0; i < lineCount; ++i)
        LogLine(LogLevel::Info, "task_placed").with("number", i).with("text", std::string(60, 'x'));
    const std::string longText(std::size_t { 2 } * PIPE_BUF, 'y');
    LogLine(LogLevel::Warning, "long_line").with("text", longText);
    LogLine(LogLevel::Info, "after_long_line").with("number", lineCount);
    stopLog();
    std::string all;
    for (const std::string& bytes : output.writes()) {
        CAPTURE(bytes.substr(0, 200));
        CHECK(bytes.back() == '\n');
        CHECK((bytes.size() <= PIPE_BUF || bytes.find('\n') == bytes.size() - 1));
        all += bytes;
    }
    for (int i = 0; i < lineCount; ++i)
        CHECK(all.find("number=" + std::to_string(i) + ' ') != std::string::npos);
    CHECK(all.find(longText) != std::string::npos);
    CHECK(all.find("event=after_long_line") != std::string::npos);
}
