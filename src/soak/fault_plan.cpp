#include "soak/fault_plan.h"

namespace sp::soak {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

} // namespace

Process& FaultPlan::anyProcess() { return m_world.processes()[m_world.timeline().below(m_world.processes().size())]; }

FakeTarget& FaultPlan::anyTarget() { return m_world.targets()[m_world.timeline().below(m_world.targets().size())]; }

/** Starts a fault when its time has come; often several follow at once. */
void FaultPlan::step()
{
    if (m_wait > 0) {
        --m_wait;
        return;
    }
    Timeline& time = m_world.timeline();
    // One in three faults joins an earlier one; the others wait long enough for a recovery to be seen.
    m_wait = time.chance(0.33) ? time.below(100) : 400 + time.below(1600);
    startFault();
}

void FaultPlan::startFault()
{
    switch (m_world.timeline().below(9)) {
    case 0:
    case 1:
        startStoreFault();
        break;
    case 2:
    case 3:
        startLinkFault();
        break;
    case 4:
    case 5:
    case 6:
        startProcessFault();
        break;
    case 7:
        startTargetFault();
        break;
    default:
        startOperatorFault();
    }
}

/** Ends a fault after some time, unless all are healed before. */
void FaultPlan::during(Duration length, const std::function<void()>& end)
{
    m_world.noteFault();
    m_world.timeline().after(length, [this, end, epoch = m_epoch] {
        if (epoch != m_epoch)
            return;
        end();
        m_world.noteFault();
    });
}

void FaultPlan::set(double Faults::*share, double value, const char* name)
{
    m_world.timeline().trace("fault: " + std::string(name));
    m_world.faults().*share = value;
    during(m_world.timeline().between(seconds(1), seconds(15)), [this, share, name] {
        m_world.timeline().trace("end of fault: " + std::string(name));
        m_world.faults().*share = 0;
    });
}

void FaultPlan::startStoreFault()
{
    Timeline& time = m_world.timeline();
    switch (time.below(5)) {
    case 0:
        time.trace("fault: store down");
        m_world.faults().storeDown = true;
        during(time.between(seconds(1), seconds(20)), [this] {
            m_world.timeline().trace("end of fault: store down");
            m_world.faults().storeDown = false;
        });
        break;
    case 1:
        time.trace("fault: store slow");
        m_world.faults().storeSlow = true;
        during(time.between(seconds(1), seconds(15)), [this] {
            m_world.timeline().trace("end of fault: store slow");
            m_world.faults().storeSlow = false;
        });
        break;
    case 2:
        set(&Faults::storeAnswerLoss, 0.3, "store answers lost");
        break;
    case 3:
        set(&Faults::storeLateWrite, 0.2, "store writes late");
        break;
    default:
        cutStore();
    }
}

/** Cuts one scheduler, or all of a data centre, from the store. */
void FaultPlan::cutStore()
{
    Timeline& time = m_world.timeline();
    const Process& first = anyProcess();
    const bool isWholeDataCentre = time.chance(0.3);
    std::vector<HostId> hosts;
    for (const Process& process : m_world.processes()) {
        if (process.host == first.host || (isWholeDataCentre && process.dataCentre == first.dataCentre))
            hosts.push_back(process.host);
    }
    for (const HostId& host : hosts) {
        time.trace("fault: " + host.value + " cut from the store");
        m_world.faults().cutFromStore.insert(host);
    }
    during(time.between(seconds(1), seconds(20)), [this, hosts] {
        for (const HostId& host : hosts) {
            m_world.timeline().trace("end of fault: " + host.value + " cut from the store");
            m_world.faults().cutFromStore.erase(host);
        }
        // Some watches stay silent for good after a partition.
        for (Process& process : m_world.processes()) {
            for (auto& [prefix, watch] : process.watches)
                watch.isSilent = watch.isSilent || m_world.timeline().chance(0.1);
        }
    });
}

void FaultPlan::startLinkFault()
{
    switch (m_world.timeline().below(4)) {
    case 0:
        cutDataCentres();
        break;
    case 1:
        cutOneWay();
        break;
    case 2:
        set(&Faults::messageLoss, 0.3, "messages lost");
        break;
    default:
        set(&Faults::messageDelay, 0.3, "messages late and reordered");
    }
}

void FaultPlan::cutDataCentres()
{
    Timeline& time = m_world.timeline();
    std::vector<std::pair<HostId, HostId>> links;
    for (const Process& from : m_world.processes()) {
        for (const Process& to : m_world.processes()) {
            if (from.dataCentre != to.dataCentre)
                links.emplace_back(from.host, to.host);
        }
    }
    time.trace("fault: data centres cut from each other");
    m_world.faults().cutLinks.insert(links.begin(), links.end());
    during(time.between(seconds(2), seconds(20)), [this, links] {
        m_world.timeline().trace("end of fault: data centres cut from each other");
        for (const auto& link : links)
            m_world.faults().cutLinks.erase(link);
    });
}

/** Messages from one scheduler to another, or to all, are lost in one direction. */
void FaultPlan::cutOneWay()
{
    Timeline& time = m_world.timeline();
    const HostId from = anyProcess().host;
    const HostId one = anyProcess().host;
    const bool toAll = time.chance(0.3);
    std::vector<std::pair<HostId, HostId>> links;
    for (const Process& to : m_world.processes()) {
        if (toAll || to.host == one)
            links.emplace_back(from, to.host);
    }
    time.trace("fault: one-way loss from " + from.value + (toAll ? " to all" : " to " + one.value));
    m_world.faults().cutLinks.insert(links.begin(), links.end());
    during(time.between(seconds(1), seconds(15)), [this, links, from] {
        m_world.timeline().trace("end of fault: one-way loss from " + from.value);
        for (const auto& link : links)
            m_world.faults().cutLinks.erase(link);
    });
}

void FaultPlan::startProcessFault()
{
    Timeline& time = m_world.timeline();
    Process& process = anyProcess();
    if (!process.node)
        return;
    const std::uint64_t kind = time.below(6);
    if (kind < 3) {
        // A second pause may follow the first before its recovery is complete.
        const Duration length = time.between(milliseconds(200), seconds(8));
        m_world.pause(process, length);
        during(length, [] {});
        return;
    }
    if (kind == 3)
        m_world.requestDrain(process);
    else
        m_world.crash(process);
    const Duration down = time.between(milliseconds(500), seconds(10)) + (kind == 3 ? seconds(35) : seconds(0));
    time.after(down, [this, host = process.host] {
        for (Process& found : m_world.processes()) {
            if (found.host != host || (found.node && !found.isDraining))
                continue;
            if (found.node)
                m_world.crash(found);
            m_world.startProcess(found);
        }
    });
}

void FaultPlan::startTargetFault()
{
    Timeline& time = m_world.timeline();
    FakeTarget& target = anyTarget();
    const std::uint64_t kind = time.below(5);
    if (kind == 0) {
        set(&Faults::connectionSilent, 0.2, "connections silent");
    } else if (kind == 1) {
        const std::pair link(anyProcess().host, target.id);
        time.trace("fault: " + target.id.value + " cut from " + link.first.value);
        m_world.faults().cutTargets.insert(link);
        during(time.between(seconds(1), seconds(12)), [this, link] { m_world.faults().cutTargets.erase(link); });
    } else if (kind < 4 && target.isPresent && !target.leavingSince) {
        m_world.leave(target, time.between(seconds(1), seconds(5)));
        replaceTarget(target.id, seconds(20));
    } else if (target.isPresent && !target.leavingSince) {
        m_world.crashTarget(target);
        replaceTarget(target.id, time.between(seconds(2), seconds(8)));
    }
}

/** Takes a target off the host list after some time and puts a new one of the same kind on it. */
void FaultPlan::replaceTarget(const TargetId& id, Duration after)
{
    m_world.timeline().after(after, [this, id] {
        for (std::size_t i = 0; i < m_world.targets().size(); ++i) {
            if (m_world.targets()[i].id != id)
                continue;
            m_world.crashTarget(m_world.targets()[i]);
            m_world.store().erase("/platform/hosts/" + id.value);
            m_world.addTargetLike(m_world.targets()[i], static_cast<int>(++m_targets));
            return;
        }
    });
}

void FaultPlan::startOperatorFault()
{
    if (m_world.timeline().chance(0.5))
        m_load.operatorsRace();
    else
        m_load.cancelWave();
}

/** Ends all faults that last. */
void FaultPlan::healAll()
{
    m_world.timeline().trace("all faults end");
    ++m_epoch;
    m_world.faults() = {};
}

} // namespace sp::soak
