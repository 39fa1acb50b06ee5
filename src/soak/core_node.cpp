#include "scheduler_core.h"
#include "soak/node.h"

namespace sp::soak {

namespace {

    /** The whole core. */
    class CoreNode : public Node {
    public:
        explicit CoreNode(const NodeSettings& settings)
            : m_core(config(settings), [this](Action&& action) { (*m_sink)(std::move(action)); })
        {
        }
        void handle(const Event& event, Time now, const ActionSink& sink) override
        {
            m_sink = &sink;
            if (!std::exchange(m_isStarted, true))
                m_core.start(now);
            m_core.handle(event, now);
            m_sink = nullptr;
        }
        HoldLevel level(const ShardId& shard, Time now) const override { return m_core.level(shard, now); }
        Term term(const ShardId& shard) const override { return m_core.term(shard); }
        void checkInvariants() const override { m_core.checkInvariants(); }

    private:
        static CoreConfig config(const NodeSettings& settings)
        {
            CoreConfig made;
            made.self = settings.host;
            made.dataCentre = settings.dataCentre;
            made.incarnation = settings.incarnation;
            made.linkAddress = "127.0.0.1:1";
            made.peers = settings.peers;
            made.seed = settings.seed;
            made.faults = settings.switches;
            return made;
        }

        const ActionSink* m_sink = nullptr;
        SchedulerCore m_core;
        bool m_isStarted = false;
    };

} // namespace

/** @param settings Settings. @return Node that runs the whole core. */
std::unique_ptr<Node> makeCoreNode(const NodeSettings& settings) { return std::make_unique<CoreNode>(settings); }

} // namespace sp::soak
