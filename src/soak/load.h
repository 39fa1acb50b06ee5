/** @file load.h Callers and operators of a run. */
#pragma once

#include "soak/world.h"

namespace sp::soak {

/** Sends requests, jobs, cancellations and bundle changes. */
class Load {
public:
    explicit Load(World& world)
        : m_world(world)
    {
    }
    void writeFirstBundle();
    void step();
    void cancelWave();
    void askForJobs();
    void end();
    void operatorsRace();
    std::uint64_t bundleVersion() const { return m_bundle; }

private:
    Process* anyProcess();
    void submitRequest(Process& process, bool isKeyed);
    void submitJob(Process& process);
    void cancelRequest(const std::string& clientId);
    void queryJob();
    static std::string nameOf(const Process& process);
    void writeBundle(std::uint64_t version, const std::vector<std::string>& stages, bool isRaced);

    World& m_world;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_bundle = 0;
    std::uint64_t m_previous = 0;
};

} // namespace sp::soak
