/** @file main.cpp Command line of the operators. */
#include "command_line.h"
#include "ctl/clock_wall_func.h"
#include "ctl/command_type.h"
#include "etcd_store.h"
#include "http_client.h"
#include "ini_text.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <poll.h>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(store, "", "Address of the platform's store (ip:port)");
DEFINE_string(operator, "", "Who proposes or approves");
DEFINE_string(admin, "", "Admin addresses of schedulers (ip:port,...)");
DEFINE_bool(json, false, "Output for programs");
DEFINE_bool(unwatched, false, "Roll without health figures");
DEFINE_bool(markdown, false, "Output of keys as Markdown");

namespace {

constexpr std::chrono::milliseconds storeTimeout { 2000 };
constexpr std::chrono::milliseconds adminTimeout { 2000 };

/** GET from an admin interface. @return Body of an answer with status 200. */
std::optional<std::string> adminGet(const std::string& address, const std::string& path)
{
    sp::HttpClient client({});
    sp::HttpRequest request;
    request.url = "http://" + address + path;
    request.post = false;
    request.timeout = adminTimeout;
    std::optional<sp::HttpResult> result;
    client.start(std::move(request), [&](sp::HttpResult&& done) { result = std::move(done); });
    while (!result) {
        pollfd waitFor { client.fd(), POLLIN, 0 };
        poll(&waitFor, 1, 20);
        client.process();
    }
    return result->complete && result->status == 200 ? std::optional(result->body) : std::nullopt;
}

/** 128 random bits: no two writers have the same token. */
std::string newToken()
{
    std::random_device device;
    std::ostringstream out;
    out << std::hex;
    for (int i = 0; i < 4; ++i)
        out << device();
    return out.str();
}

/** Flags that gflags does not know would end the program with status 1, which means refused. */
bool flagsKnown(int argc, char** argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--")
            return true;
        if (!argument.starts_with("-") || argument.size() < 2)
            continue;
        std::string name(argument.substr(argument.starts_with("--") ? 2 : 1));
        const bool hasValue = name.find('=') != std::string::npos;
        name = name.substr(0, name.find('='));
        gflags::CommandLineFlagInfo info;
        const bool known = gflags::GetCommandLineFlagInfo(name.c_str(), &info);
        if (!known && name != "help" && name != "version" && name != "h") {
            std::cerr << "spctl: no flag --" << name << "; `spctl help` lists them\n";
            return false;
        }
        if (known && info.type != "bool" && !hasValue && ++i >= argc) {
            std::cerr << "spctl: --" << name << " needs a value\n";
            return false;
        }
    }
    return true;
}

std::optional<std::vector<std::string>> addresses(const std::string& list)
{
    std::vector<std::string> result;
    std::istringstream stream(list);
    for (std::string address; std::getline(stream, address, ',');) {
        if (!sp::isAddress(address)) {
            std::cerr << "spctl: '" << address << "' is no address; expected ip:port\n";
            return std::nullopt;
        }
        result.push_back(address);
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace sp::ctl;
    constexpr int usage = static_cast<int>(Exit::Usage);
    std::signal(SIGPIPE, SIG_IGN);
    if (!flagsKnown(argc, argv))
        return usage;
    const sp::ctl::Command* command = argc > 2 ? findCommand(argv[1]) : nullptr;
    const std::string help = command ? commandHelp(*command) : overviewText();
    sp::parseCommandLine(argc, argv, "spctl", help.c_str());
    if (argc < 2) {
        std::cerr << overviewText();
        return usage;
    }
    const auto admins = addresses(FLAGS_admin);
    const auto store = addresses(FLAGS_store);
    if (!admins || !store || store->size() > 1)
        return usage;
    Context context { std::cout, std::cerr, FLAGS_json, FLAGS_unwatched, FLAGS_markdown, FLAGS_operator, *admins, {},
        adminGet, wallNow() };
    if (!store->empty())
        context.store = sp::BundleStoreHooks { sp::makeEtcdHooks(store->front(), storeTimeout), newToken,
            [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); } };
    return static_cast<int>(runCommand(context, argv[1], Arguments(argv + 2, argv + argc)));
}
