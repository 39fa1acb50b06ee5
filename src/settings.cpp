#include "settings.h"

#include "ini_text.h"
#include "table/settings_keys.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sp {

namespace {

    std::string title(const std::string& kind, const std::string& name)
    {
        std::string text = kind;
        if (!name.empty())
            text.append(" ").append(name);
        return text;
    }

    void requireSection(Ini& ini, const std::string& kind)
    {
        if (ini.sectionNames(kind).empty())
            ini.addProblem(kind, "*", "the section is missing", "[" + kind + "]");
    }

    void requirePlain(Ini& ini, const std::string& kind)
    {
        for (const std::string& name : ini.sectionNames(kind)) {
            if (!name.empty())
                ini.addProblem(title(kind, name), "*", "the section has a name", "[" + kind + "]");
        }
    }

    void requireNames(Ini& ini, const std::string& kind)
    {
        for (const std::string& name : ini.sectionNames(kind)) {
            const bool valid = !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
                return std::isalnum(c) || c == '-' || c == '_';
            });
            if (!valid)
                ini.addProblem(title(kind, name), "*", "the section has no valid name",
                    "[" + kind + " NAME] with letters, digits, - and _");
        }
    }

    /** Port 0 means a free port, which makes no sense for an address to connect to. */
    void requirePort(Ini& ini, const std::string& kind, const std::string& name, const std::string& key)
    {
        const std::string address = ini.text(kind, name, key);
        if (isAddress(address) && address.ends_with(":0"))
            ini.addProblem(
                title(kind, name), key, "'" + address + "' has port 0", "the port on which the other process listens");
    }

} // namespace

/**
 * Parses the settings of a scheduler.
 * @param text INI text.
 * @return Settings, or all problems.
 */
SettingsParse<SchedulerSettings> parseSchedulerSettings(const std::string& text)
{
    Ini ini = Ini::parse(text, schedulerKeys);
    for (const char* kind : { "process", "store" })
        requireSection(ini, kind);
    for (const char* kind : { "process", "store", "targets" })
        requirePlain(ini, kind);
    requireNames(ini, "peer");
    requirePort(ini, "store", "", "address");
    SchedulerSettings settings;
    settings.host = HostId(ini.text("process", "", "host"));
    settings.dataCentre = DataCentreId(ini.text("process", "", "data_centre"));
    settings.link = ini.text("process", "", "link");
    settings.admin = ini.text("process", "", "admin");
    settings.drainTimeout = ini.span("process", "", "drain_timeout");
    settings.storeAddress = ini.text("store", "", "address");
    settings.storeTimeout = ini.span("store", "", "timeout");
    settings.targetsCheckTerms = ini.flag("targets", "", "check_terms");
    for (const std::string& name : ini.sectionNames("peer")) {
        requirePort(ini, "peer", name, "link");
        if (name == settings.host.value)
            ini.addProblem("peer " + name, "*", "names this host", "another scheduler of the cell");
        PeerSettings peer;
        peer.host = HostId(name);
        peer.link = ini.text("peer", name, "link");
        peer.dataCentre = DataCentreId(ini.text("peer", name, "data_centre"));
        peer.roundTrip = std::chrono::microseconds(static_cast<std::int64_t>(ini.real("peer", name, "rtt_ms") * 1000));
        settings.peers.push_back(std::move(peer));
    }
    if (!ini.problems().empty())
        return { std::nullopt, ini.problems() };
    return { std::move(settings), {} };
}

/**
 * Parses the settings of a gateway.
 * @param text INI text.
 * @return Settings, or all problems.
 */
SettingsParse<GatewaySettings> parseGatewaySettings(const std::string& text)
{
    Ini ini = Ini::parse(text, gatewayKeys);
    requireSection(ini, "process");
    requireSection(ini, "scheduler");
    requirePlain(ini, "process");
    requireNames(ini, "scheduler");
    GatewaySettings settings;
    settings.host = HostId(ini.text("process", "", "host"));
    settings.dataCentre = DataCentreId(ini.text("process", "", "data_centre"));
    settings.listen = ini.text("process", "", "listen");
    settings.drainTimeout = ini.span("process", "", "drain_timeout");
    for (const std::string& name : ini.sectionNames("scheduler")) {
        requirePort(ini, "scheduler", name, "link");
        settings.schedulers.push_back({ HostId(name), ini.text("scheduler", name, "link") });
    }
    std::stable_partition(settings.schedulers.begin(), settings.schedulers.end(),
        [&](const SchedulerLink& link) { return link.host == settings.host; });
    if (!ini.problems().empty())
        return { std::nullopt, ini.problems() };
    return { std::move(settings), {} };
}

/**
 * Reads a whole file.
 * @param path Path of the file.
 * @return Content, or nothing if it can't be read.
 */
std::optional<std::string> readTextFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf()))
        return std::nullopt;
    return content.str();
}

} // namespace sp
