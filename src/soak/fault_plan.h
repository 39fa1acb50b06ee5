/** @file fault_plan.h Chooses, starts and ends the faults of a run. */
#pragma once

#include "soak/load.h"
#include "soak/world.h"

namespace sp::soak {

/** Faults at random times: alone, together, and again before the first has ended. */
class FaultPlan {
public:
    FaultPlan(World& world, Load& load)
        : m_world(world)
        , m_load(load)
    {
    }
    void step();
    void healAll();

private:
    void startFault();
    void startStoreFault();
    void startLinkFault();
    void startProcessFault();
    void startTargetFault();
    void startOperatorFault();
    void during(Duration length, const std::function<void()>& end);
    void set(double Faults::*share, double value, const char* name);
    void cutDataCentres();
    void cutOneWay();
    void cutStore();
    void replaceTarget(const TargetId& id, Duration after);
    Process& anyProcess();
    FakeTarget& anyTarget();

    World& m_world;
    Load& m_load;
    std::uint64_t m_wait = 500; ///< Steps until the next fault.
    std::uint64_t m_epoch = 0; ///< Grows when all faults are healed; ends of older faults have no effect then.
    std::uint64_t m_targets = 100;
};

} // namespace sp::soak
