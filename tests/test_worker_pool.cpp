#include "doctest_main.h"

#include "task_test_base.h"

using namespace sp;
using namespace sp::test;

namespace {

Reservation reservationOf(std::uint32_t number, Resources size)
{
    Reservation reservation;
    reservation.key = { 1, number };
    reservation.wanted = size;
    return reservation;
}

WorkerPool usablePool(int workers, Resources capacity = { 8000, 8192, 0 })
{
    WorkerPool pool;
    for (int i = 0; i < workers; ++i)
        pool.setUsable(pool.put(workerInfo(i, capacity, 2)), true);
    return pool;
}

PlaceQuery queryOf(Resources size)
{
    PlaceQuery query;
    query.size = size;
    return query;
}

} // namespace

// Guards against reservations above the capacity when usage exceeds it, and against new tasks on such a worker.
TEST_CASE("demand above the capacity is not granted and the worker gets no new tasks")
{
    WorkerPool pool = usablePool(1);
    pool.reserve(0, reservationOf(0, { 6000, 1024, 0 }));
    pool.reserve(0, reservationOf(1, { 6000, 1024, 0 }));
    pool.checkInvariants();
    CHECK(pool.workers()[0].reserved.coresMilli == 8000);
    CHECK(pool.place(queryOf({ 0, 1, 0 })) == noWorker);
    pool.release(0, { 1, 0 });
    CHECK(pool.reservation(0, { 1, 1 })->granted.coresMilli == 6000);
    CHECK(pool.place(queryOf({ 2000, 1, 0 })) == 0);
    pool.checkInvariants();
}

// Guards against a growing task that takes resources reserved for another running task.
TEST_CASE("a reservation grows only into free capacity")
{
    WorkerPool pool = usablePool(1);
    pool.reserve(0, reservationOf(0, { 4000, 100, 0 }));
    pool.reserve(0, reservationOf(1, { 3000, 100, 0 }));
    CHECK(pool.resize(0, { 1, 0 }, { 8000, 100, 0 }).coresMilli == 5000);
    CHECK(pool.reservation(0, { 1, 1 })->granted.coresMilli == 3000);
    pool.checkInvariants();
}

// Guards against reservations above the capacity after the host list lowers the capacity of a worker.
TEST_CASE("a smaller capacity reduces the granted amounts")
{
    WorkerPool pool = usablePool(1);
    pool.reserve(0, reservationOf(0, { 8000, 100, 0 }));
    pool.put(workerInfo(0, { 4000, 8192, 0 }, 2));
    pool.checkInvariants();
    CHECK(pool.workers()[0].unmet.coresMilli == 4000);
}

// Guards against small tasks scattered over many workers, which would leave no empty worker for large ones, and against
// tasks without accelerators that occupy workers with accelerators.
TEST_CASE("best fit keeps empty workers and accelerators free")
{
    WorkerPool pool = usablePool(3);
    pool.setUsable(pool.put(workerInfo(3, { 8000, 8192, 4 }, 2)), true);
    pool.reserve(1, reservationOf(0, { 2000, 100, 0 }));
    CHECK(pool.place(queryOf({ 2000, 100, 0 })) == 1);
    CHECK(pool.place(queryOf({ 7000, 100, 0 })) != 3);
    CHECK(pool.place(queryOf({ 1000, 100, 1 })) == 3);
}

// Guards against two tasks of a service in one rack while other racks have none.
TEST_CASE("services are spread over racks and never exceed the rack limit")
{
    WorkerPool pool = usablePool(6);
    std::map<std::uint32_t, std::uint32_t> tasksPerRack;
    PlaceQuery query = queryOf({ 1000, 100, 0 });
    query.rackUse = &tasksPerRack;
    query.rackLimit = 2;
    query.spread = true;
    std::uint32_t placed = 0;
    for (WorkerIndex worker = pool.place(query); worker != noWorker; worker = pool.place(query)) {
        pool.reserve(worker, reservationOf(placed++, query.size));
        ++tasksPerRack[pool.workers()[worker].rack];
        if (placed == 3)
            CHECK(tasksPerRack.size() == 3);
    }
    CHECK(placed == 6);
}

// Guards against sums and index entries that drift from the reservations under random operations.
TEST_CASE("sums and index stay exact under random operations")
{
    std::mt19937_64 random(numberFromEnvironment("SP_SEED", 1));
    const auto steps = numberFromEnvironment("SP_STEPS", 20000);
    WorkerPool pool = usablePool(20, { 8000, 8192, 2 });
    std::vector<std::pair<WorkerIndex, TaskKey>> running;
    const auto size = [&] {
        return Resources { static_cast<std::int64_t>(random() % 5000), static_cast<std::int64_t>(random() % 5000),
            static_cast<std::int64_t>(random() % 8 == 0) };
    };
    for (std::uint64_t step = 0; step < steps; ++step) {
        const WorkerIndex randomWorker = static_cast<WorkerIndex>(random() % 20);
        const std::size_t randomTask = running.empty() ? 0 : random() % running.size();
        switch (random() % 8) {
        case 0:
            pool.setOut(randomWorker, random() % 2);
            break;
        case 1:
            pool.put(workerInfo(
                static_cast<int>(randomWorker), { 4000 + 4000 * static_cast<std::int64_t>(random() % 2), 8192, 2 }, 2));
            break;
        case 2:
        case 3:
            if (!running.empty()) {
                pool.release(running[randomTask].first, running[randomTask].second);
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(randomTask));
            }
            break;
        case 4:
            if (!running.empty())
                pool.resize(running[randomTask].first, running[randomTask].second, size());
            break;
        default: {
            const Resources need = size();
            const WorkerIndex worker = pool.place(queryOf(need));
            bool anyFits = false;
            for (const WorkerState& state : pool.workers())
                anyFits = anyFits || (state.isEligible() && need.fitsIn(state.room(false)));
            REQUIRE((worker != noWorker) == anyFits);
            if (worker != noWorker) {
                pool.reserve(worker, reservationOf(static_cast<std::uint32_t>(step), need));
                running.emplace_back(worker, TaskKey { 1, static_cast<std::uint32_t>(step) });
            }
        }
        }
        pool.checkInvariants();
    }
}
