/** @file settings.h Settings of the daemons. */
#pragma once

#include "bundle_type.h"
#include "id_type.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace sp {

/** Another scheduler of the cell. */
struct PeerSettings {
    HostId host;
    std::string link; ///< `ip:port` of its ROUTER socket.
    DataCentreId dataCentre;
    std::chrono::microseconds roundTrip { 0 };
};

/** Settings of `sp-scheduler`. */
struct SchedulerSettings {
    HostId host;
    DataCentreId dataCentre;
    std::string link; ///< `ip:port`, port 0 for a free one.
    std::string admin; ///< `ip:port`, port 0 for a free one.
    std::chrono::milliseconds drainTimeout { 30000 };
    std::string storeAddress; ///< `ip:port`.
    std::chrono::milliseconds storeTimeout { 2000 };
    bool targetsCheckTerms = true;
    std::vector<PeerSettings> peers;
};

/** A scheduler that a gateway may use. */
struct SchedulerLink {
    HostId host;
    std::string link; ///< `ip:port` of its ROUTER socket.
};

/** Settings of `sp-gateway`. */
struct GatewaySettings {
    HostId host;
    DataCentreId dataCentre;
    std::string listen; ///< `ip:port`, port 0 for a free one.
    std::chrono::milliseconds drainTimeout { 30000 };
    std::vector<SchedulerLink> schedulers; ///< The preferred one (of the own host) first.
};

/** Parsed settings, or everything that is wrong with their text. */
template <typename T> struct SettingsParse {
    std::optional<T> settings; ///< Set if there are no problems.
    std::vector<TextProblem> problems;
};

SettingsParse<SchedulerSettings> parseSchedulerSettings(const std::string& text);
SettingsParse<GatewaySettings> parseGatewaySettings(const std::string& text);
std::optional<std::string> readTextFile(const std::string& path);

} // namespace sp
