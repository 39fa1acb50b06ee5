#include "doctest_main.h"

#include "entry_node.h"
#include "front.h"
#include "proto/cell.pb.h"

#include <deque>

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** An entry host whose calls wait until the test answers them. */
struct Fixture {
    struct StoreCall {
        StoreRequest request;
        CellSessionHooks::Reply reply;
    };
    struct TargetOrderCall {
        TargetRef target;
        TargetOrder order;
        TargetReply reply;
    };
    Time now { 1h };
    std::deque<StoreCall> storeCalls;
    std::deque<std::function<void(StoreWatchReply&&)>> watches;
    std::deque<std::function<void(TargetList)>> lists;
    std::deque<TargetOrderCall> orders;
    std::uint64_t revision = 10;
    std::map<std::string, CellConfig> configs; ///< Configurations by their texts in the store.
    Metrics metrics;
    EntryNode node;

    Fixture()
        : node(config(), metrics, hooks())
    {
    }

    static EntryNodeConfig config()
    {
        EntryNodeConfig config;
        config.session = { HostId("h1"), "10.0.0.1:1", 250, "c", "config/", "cell/own/", CellKeys::sequenceKeys(), 1s };
        config.configKey = "config/cell";
        return config;
    }

    EntryNodeHooks hooks()
    {
        EntryNodeHooks hooks;
        hooks.storeCall = [this](StoreRequest&& request, std::chrono::milliseconds, CellSessionHooks::Reply reply) {
            storeCalls.push_back({ std::move(request), std::move(reply) });
        };
        hooks.storeWatch = [this](StoreWatch&&, std::function<void(StoreWatchReply &&)> reply) {
            watches.push_back(std::move(reply));
        };
        hooks.decodeConfig = [this](const std::string& value) {
            if (const auto it = configs.find(value); it != configs.end())
                return std::optional(it->second);
            CellConfig cell;
            cell.version = 1;
            QueueConfig queue;
            queue.id = QueueId("q");
            queue.service = ServiceId("s");
            cell.queues = { queue };
            cell.services = { { ServiceId("s"), false, false } };
            return std::optional(cell);
        };
        hooks.listTargets = [this](std::function<void(TargetList)> done) { lists.push_back(std::move(done)); };
        hooks.callTarget = [this](const TargetRef& target, const TargetOrder& order, TargetReply reply) {
            orders.push_back({ target, order, std::move(reply) });
        };
        hooks.advise
            = [](const AdviceQuestion&, std::chrono::milliseconds, const std::function<void(AdviceReply &&)>&) {};
        hooks.callPeer = [](const std::string&, const std::string&, std::string&&, std::chrono::milliseconds,
                             const std::function<void(HttpResult &&)>&) {};
        hooks.clock = [this] { return now; };
        hooks.calendar = [this] {
            return CalendarTime(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()));
        };
        return hooks;
    }

    StoreReply ok(std::vector<StoreKeyValue> values = {})
    {
        StoreReply reply;
        reply.status = StoreStatus::Ok;
        reply.revision = Revision(++revision);
        reply.lease = StoreLeaseId(7);
        reply.values = std::move(values);
        return reply;
    }

    /** Answers all waiting calls of a kind. @return Number of calls. */
    template <typename T> std::size_t answerAll(const StoreReply& reply)
    {
        auto waiting = std::exchange(storeCalls, {});
        std::size_t count = 0;
        for (StoreCall& call : waiting) {
            if (std::holds_alternative<T>(call.request)) {
                ++count;
                call.reply(StoreReply(reply));
            } else {
                storeCalls.push_back(std::move(call));
            }
        }
        return count;
    }

    std::size_t waitingReads() const
    {
        return static_cast<std::size_t>(std::count_if(storeCalls.begin(), storeCalls.end(),
            [](const StoreCall& call) { return std::holds_alternative<StoreRange>(call.request); }));
    }

    void advance(Duration time)
    {
        now += time;
        node.tick(now);
    }

    /** Starts the host with these member keys and lets it win the cell; it has not read the records yet. */
    void winCell(std::vector<StoreKeyValue> keys = {})
    {
        node.tick(now);
        answerAll<StoreLeaseGrant>(ok());
        keys.push_back({ "config/cell", "c", Revision(3) });
        answerAll<StoreRange>(ok(std::move(keys)));
        node.tick(now);
        answerAll<StoreTxn>(ok()); // Registration as a member.
        advance(1ms);
        advance(100ms);
        answerAll<StoreTxn>(ok()); // Claim.
    }

    static TargetEntry target()
    {
        TargetEntry entry;
        entry.id = TargetId("t");
        entry.bornAt = CalendarTime(1ms);
        entry.address = "10.0.1.1:1";
        entry.service = ServiceId("s");
        entry.capacity = { 16000, 32000, 0 };
        return entry;
    }

    void beginOwnership()
    {
        answerAll<StoreRange>(ok());
        REQUIRE(!lists.empty());
        lists.front()(std::make_shared<const std::vector<TargetEntry>>(1, target()));
        lists.pop_front();
    }

    void submit(const std::string& id)
    {
        CallerRequest request;
        request.action = CallerAction::Submit;
        request.queue = QueueId("q");
        request.job = JobId(id);
        request.receivedAt = now;
        request.patience = 3s;
        CellJobSpec spec;
        spec.id = request.job;
        spec.queue = request.queue;
        StepSpec step;
        step.tasks = 1;
        step.demand = { 1000, 1000, 0 };
        spec.steps = { step };
        request.spec = spec;
        node.handle(std::move(request), [](CallerResult&&) {});
    }

    template <typename T> std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(orders.begin(), orders.end(),
            [](const TargetOrderCall& call) { return std::holds_alternative<T>(call.order); }));
    }

    void reportFromTarget()
    {
        const auto it = std::find_if(orders.begin(), orders.end(),
            [](const TargetOrderCall& call) { return std::holds_alternative<LookOrder>(call.order); });
        REQUIRE(it != orders.end());
        const TargetOrderCall call = std::move(*it);
        orders.erase(it);
        RunReport report;
        report.clock = 1000ms;
        report.bornAt = CalendarTime(1ms);
        call.reply({ OrderResult::Done, 1000ms }, report);
    }
};

} // namespace

// A process that was suspended handles the answers that have arrived meanwhile before anything else.
TEST_CASE_FIXTURE(Fixture, "an owner that was suspended past the end of its lease sends no order")
{
    winCell();
    beginOwnership();
    advance(20ms);
    reportFromTarget();
    submit("j");
    advance(20ms);
    advance(20ms);
    REQUIRE(answerAll<StoreTxn>(ok()) > 0);
    REQUIRE(count<StartOrder>() == 1);
    CHECK(orders.back().target.sendBefore > now);
    CHECK(orders.back().target.sendBefore <= now + 1s);
    submit("k");
    advance(20ms);
    advance(20ms);
    const std::size_t before = orders.size();
    SUBCASE("lease in force")
    {
        REQUIRE(answerAll<StoreTxn>(ok()) > 0);
        CHECK(orders.size() == before + 1);
    }
    SUBCASE("lease over")
    {
        now += 5s; // No tick: the process stood still.
        REQUIRE(answerAll<StoreTxn>(ok()) > 0);
        orders.front().reply({ OrderResult::Lost, {} }, {});
        CHECK(orders.size() == before);
        node.tick(now);
        CHECK(orders.size() == before);
    }
}

// The reads were repeated without a pause, 3,049 times in a second, until the lease ended.
TEST_CASE_FIXTURE(Fixture, "a host that cannot read the records pauses between reads and gives the cell up")
{
    winCell();
    StoreReply refused;
    refused.status = StoreStatus::Refused;
    REQUIRE(waitingReads() == 2);
    answerAll<StoreRange>(refused);
    CHECK(waitingReads() == 0);
    advance(50ms);
    CHECK(waitingReads() == 0);
    advance(60ms);
    CHECK(waitingReads() == 2);
    answerAll<StoreRange>(refused);
    const auto deletesOwnerKey = [&] {
        return std::any_of(storeCalls.begin(), storeCalls.end(), [](const StoreCall& call) {
            const auto* txn = std::get_if<StoreTxn>(&call.request);
            return txn && !txn->writes.empty() && txn->writes.front().kind == StoreWrite::Kind::Delete;
        });
    };
    CHECK(deletesOwnerKey());
}

TEST_CASE_FIXTURE(Fixture, "a read of the records that fails once is repeated and the ownership begins")
{
    winCell();
    StoreReply refused;
    refused.status = StoreStatus::Refused;
    answerAll<StoreRange>(refused);
    advance(110ms);
    beginOwnership();
    advance(20ms);
    CHECK(count<LookOrder>() == 1);
}

TEST_CASE_FIXTURE(Fixture, "an owner whose callback threw gives the cell up, as its state may be inconsistent")
{
    winCell();
    beginOwnership();
    node.handleCallbackFailure();
    CHECK(node.statusText(now).find("\"active\":false") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "an owner hands the cell over to a much stronger host once")
{
    proto::NodeRecord record;
    record.set_address("10.0.0.2:1");
    record.set_strength_milli(500);
    winCell({ { "cell/own/node/h2", record.SerializeAsString(), Revision(4) } });
    beginOwnership();
    for (int i = 0; i < 4; ++i) {
        advance(300ms);
        answerAll<StoreLeaseKeepAlive>(ok());
    }
    CHECK(node.statusText(now).find("\"active\":true") != std::string::npos);
    for (int i = 0; i < 4; ++i) {
        advance(300ms);
        answerAll<StoreLeaseKeepAlive>(ok());
    }
    CHECK(node.statusText(now).find("\"active\":false") != std::string::npos);
}

namespace {

/** Requests of callers to a host that knows no owner. */
struct ShutdownTest : Fixture {
    std::vector<CallerResult::Kind> answers;

    void ask(CallerAction action)
    {
        CallerRequest request;
        request.action = action;
        request.queue = QueueId("q");
        request.job = JobId("j");
        request.receivedAt = now;
        request.patience = 3s;
        node.handle(std::move(request), [this](CallerResult&& result) { answers.push_back(result.kind); });
    }

    void pass(Duration time)
    {
        for (const Time end = now + time; now < end;)
            advance(20ms);
    }
};

} // namespace

// Guards against requests that end without an answer: a process that was shutting down ended while they waited for an
// owner.
TEST_CASE_FIXTURE(ShutdownTest, "requests that wait for an owner are answered before the process ends")
{
    ask(CallerAction::State);
    node.drain(now + 1s);
    pass(500ms);
    CHECK(answers.empty());
    ask(CallerAction::Cancel);
    pass(480ms);
    ask(CallerAction::State);
    pass(100ms);
    CHECK(answers.size() == 3);
    CHECK(node.openRequests() == 0);
}

TEST_CASE_FIXTURE(ShutdownTest, "requests are refused at once when the process is about to end")
{
    node.drain(now + 1s);
    pass(1s);
    ask(CallerAction::Submit);
    CHECK(answers == std::vector<CallerResult::Kind> { CallerResult::Kind::Refused });
}

TEST_CASE_FIXTURE(ShutdownTest, "a request whose call to the owner is under way as the process ends is not refused")
{
    proto::OwnerRecord owner;
    owner.set_node("h2");
    owner.set_address("10.0.0.2:1");
    node.tick(now);
    answerAll<StoreLeaseGrant>(ok());
    answerAll<StoreRange>(
        ok({ { "config/cell", "c", Revision(3) }, { "cell/own/owner", owner.SerializeAsString(), Revision(4) } }));
    node.tick(now);
    ask(CallerAction::Submit); // The call is never answered.
    node.drain(now + 500ms);
    pass(500ms);
    CHECK(answers.empty());
    pass(300ms);
    CHECK(answers == std::vector<CallerResult::Kind> { CallerResult::Kind::Uncertain });
}

namespace {

/** Requests that carry keys of accounts. */
struct AccountTest : Fixture {
    static CellConfig accountConfig(std::uint64_t version, const std::string& keyOfA)
    {
        CellConfig cell;
        cell.version = version;
        QueueConfig queue;
        queue.id = QueueId("q");
        queue.host = "h";
        queue.prefix = "/q/";
        queue.service = ServiceId("s");
        queue.requiresKey = true;
        QueueConfig open = queue;
        open.id = QueueId("open");
        open.prefix = "/open/";
        open.requiresKey = false;
        cell.queues = { queue, open };
        cell.services = { { ServiceId("s"), false, false } };
        ClientAccount first;
        first.id = AccountId("a");
        first.keys = { keyOfA };
        ClientAccount second;
        second.id = AccountId("b");
        second.keys = { "key-b" };
        cell.accounts = { first, second };
        return cell;
    }

    AccountTest()
    {
        configs["c"] = accountConfig(1, "key-a");
        winCell();
        beginOwnership();
        advance(20ms);
        reportFromTarget();
    }

    /** Passes a new value of the configuration's key to the host. */
    void putConfig(const std::string& text)
    {
        REQUIRE(!watches.empty());
        StoreWatchReply reply;
        reply.status = StoreStatus::Ok;
        reply.changes.revision = Revision(++revision);
        reply.changes.puts = { { "config/cell", text, reply.changes.revision } };
        const auto watch = std::move(watches.front());
        watches.pop_front();
        watch(std::move(reply));
    }

    ServedCall call(const std::string& method, const std::string& path, const std::string& key) const
    {
        ServedCall request;
        request.method = method;
        request.path = path;
        request.headers = { { "Host", "h:80" } };
        if (!key.empty())
            request.headers["Authorization"] = "Bearer " + key;
        if (method == "POST")
            request.body = R"({"stages":[{"task_count":1,"cpu":1000,"mem_mb":1000,"est_ms":500}]})";
        request.receivedAt = now;
        return request;
    }

    /** Returns the status of the answer to a request, 0 if there is none yet. */
    int serve(ServedCall&& request)
    {
        const auto status = std::make_shared<int>(0);
        platform::serveCaller(node, std::move(request), [status, this](ServedAnswer&& answer) {
            *status = answer.status;
            lastAnswer = answer.body;
        });
        for (int i = 0; i < 5 && *status == 0; ++i) {
            advance(20ms);
            answerAll<StoreTxn>(ok());
        }
        return *status;
    }

    /** Lets the account a submit a job that is stored. */
    void submitAsA(const std::string& id)
    {
        CallerRequest request;
        request.action = CallerAction::Submit;
        request.account = AccountId("a");
        request.queue = QueueId("q");
        request.job = JobId(id);
        request.receivedAt = now;
        request.patience = 3s;
        CellJobSpec spec;
        spec.id = request.job;
        spec.queue = request.queue;
        StepSpec step;
        step.tasks = 1;
        step.demand = { 1000, 1000, 0 };
        spec.steps = { step };
        request.spec = spec;
        std::optional<CallerResult::Kind> kind;
        node.handle(std::move(request), [&](CallerResult&& result) { kind = result.kind; });
        for (int i = 0; i < 5 && !kind; ++i) {
            advance(20ms);
            answerAll<StoreTxn>(ok());
        }
        REQUIRE(kind == CallerResult::Kind::Done);
    }

    std::string lastAnswer;
};

} // namespace

// Guards against calls that are served without a key, and against an answer or a refusal of calls that need none.
TEST_CASE_FIXTURE(AccountTest, "calls to a queue that requires a key are answered 401 without a valid one")
{
    CHECK(serve(call("GET", "/q/", "")) == 401);
    CHECK(lastAnswer == R"({"error":"no Authorization header"})");
    CHECK(serve(call("GET", "/q/", "wrong")) == 401);
    CHECK(serve(call("DELETE", "/q/abcdef0123456789", "wrong")) == 401);
    CHECK(serve(call("POST", "/q/abcdef0123456789", "")) == 401);
    CHECK(serve(call("PUT", "/q/abcdef0123456789", "")) == 401);
    CHECK(lastAnswer.find("wrong") == std::string::npos);
    ServedCall repeated = call("GET", "/q/", "key-a");
    repeated.repeatedHeaders.insert("Authorization");
    CHECK(serve(std::move(repeated)) == 401);
    CHECK(serve(call("GET", "/q/", "key-a")) == 200);
    CHECK(serve(call("GET", "/open/", "")) == 200);
    CHECK(serve(call("GET", "/open/", "wrong")) == 200);
    CHECK(serve(call("GET", "/other/", "key-a")) == 404);
}

// Guards against an account that reads or cancels the work of another, also by way of a queue that needs no key.
TEST_CASE_FIXTURE(AccountTest, "a job of another account is answered 403")
{
    const std::string id = "abcdef0123456789";
    submitAsA(id);
    CHECK(serve(call("GET", "/q/" + id, "key-b")) == 403);
    CHECK(serve(call("DELETE", "/q/" + id, "key-b")) == 403);
    CHECK(serve(call("DELETE", "/open/" + id, "")) == 403);
    CHECK(serve(call("DELETE", "/open/" + id, "key-b")) == 403);
    CHECK(serve(call("GET", "/q/" + id, "key-a")) == 200);
    submitAsA(id); // The same job.
    CHECK(serve(call("GET", "/q/0123456789abcdef", "key-b")) == 410);
    CHECK(serve(call("DELETE", "/q/" + id, "key-a")) == 200);
    CHECK(serve(call("GET", "/q/" + id, "key-b")) == 403);
}

// Guards against keys that stay in force after a newer configuration, or come back with an older one.
TEST_CASE_FIXTURE(AccountTest, "keys change with the configuration and never go back")
{
    configs["d"] = accountConfig(2, "key-2");
    configs["e"] = accountConfig(3, "key-3");
    putConfig("d");
    CHECK(serve(call("GET", "/q/", "key-a")) == 401);
    CHECK(serve(call("GET", "/q/", "key-2")) == 200);
    putConfig("e");
    putConfig("d");
    CHECK(serve(call("GET", "/q/", "key-2")) == 401);
    CHECK(serve(call("GET", "/q/", "key-3")) == 200);
}

// Guards against the answer from the store, given while there is no owner, that passes over the account.
TEST_CASE("the state of another account's job is not read from the store either")
{
    AccountTest test;
    CellJob job;
    job.spec.id = JobId("abcdef0123456789");
    job.spec.queue = QueueId("q");
    job.spec.account = AccountId("a");
    job.state = JobState::Completed;
    const std::string record = encodeJobRecord(job);
    CellJob decoded;
    REQUIRE(decodeJobRecord(record, decoded));
    CHECK(decoded.spec.account == AccountId("a"));
    test.node.handleCallbackFailure(); // Gives the cell up.
    for (const auto& [key, status] : { std::pair("key-b", 403), std::pair("key-a", 200) }) {
        const auto answered = std::make_shared<int>(0);
        platform::serveCaller(test.node, test.call("GET", "/q/abcdef0123456789", key),
            [answered](ServedAnswer&& answer) { *answered = answer.status; });
        for (int i = 0; i < 400 && *answered == 0; ++i) {
            test.advance(20ms);
            test.answerAll<StoreLeaseGrant>(test.ok());
            test.answerAll<StoreLeaseKeepAlive>(test.ok());
            test.answerAll<StoreRange>(test.ok({ { "cell/job/abcdef0123456789", record, Revision(5) } }));
        }
        CHECK(*answered == status);
    }
}
