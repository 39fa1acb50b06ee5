#include "config_check.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <map>
#include <set>

namespace sp {

namespace {

    using Kind = ConfigFinding::Kind;

    /** An owner places a task only if its ticket is valid for at least this time; see CellOwner::ticketMargin. */
    constexpr std::chrono::milliseconds shortestUsableTicket { 300 };

    /** Fields of an entry by name, as text, in the order of their names. */
    using Fields = std::map<std::string, std::string>;

    std::string numberText(double number)
    {
        std::array<char, 40> text {};
        std::snprintf(text.data(), text.size(), "%.12g", number);
        return text.data();
    }

    std::string resourcesText(const Resources& amount)
    {
        return std::to_string(amount.coresMilli) + " milli-cores, " + std::to_string(amount.memoryMb) + " MB, "
            + std::to_string(amount.accelerators) + " accelerators";
    }

    /** Returns whether a key can be sent in a header: printable and without blanks. */
    bool isSendable(const std::string& key)
    {
        return !key.empty()
            && std::all_of(key.begin(), key.end(), [](unsigned char c) { return std::isgraph(c) != 0 && c < 0x80; });
    }

    /** Collects the findings of one configuration. */
    class Checker {
    public:
        explicit Checker(const CellConfig& config)
            : m_config(config)
        {
        }

        std::vector<ConfigFinding> run()
        {
            if (m_config.version == 0)
                add(Kind::Error, "configuration", "it has no version");
            if (m_config.queues.empty())
                add(Kind::Error, "configuration", "it has no queue, so that each request would be refused");
            if (m_config.maxBodyBytes == 0)
                add(Kind::Contradiction, "configuration", "no job fits a body of 0 bytes");
            for (const QueueConfig& queue : m_config.queues)
                checkQueue(queue);
            for (const ServiceConfig& service : m_config.services)
                checkService(service);
            for (const ClientAccount& account : m_config.accounts)
                checkAccount(account);
            if (!m_config.accounts.empty()
                && std::none_of(m_config.queues.begin(), m_config.queues.end(),
                    [](const QueueConfig& queue) { return queue.requiresKey; }))
                add(Kind::NeverMatches, "accounts", "no queue requires a key");
            return std::move(m_findings);
        }

    private:
        void add(Kind kind, std::string entry, std::string problem)
        {
            m_findings.push_back({ kind, std::move(entry), std::move(problem) });
        }

        void checkQueue(const QueueConfig& queue)
        {
            const std::string entry = "queue " + queue.id.value;
            if (queue.id.empty() || !m_queueIds.insert(queue.id).second)
                add(Kind::Error, entry, "its name is empty or used twice");
            if (const auto [first, added] = m_selectors.try_emplace({ queue.host, queue.prefix }, queue.id); !added)
                add(Kind::NeverMatches, entry, "queue " + first->second.value + " has the same host and prefix");
            if (queue.host.empty() || queue.host.find(':') != std::string::npos)
                add(Kind::NeverMatches, entry, "requests are matched by host name, without a port");
            if (!queue.prefix.starts_with('/') || queue.prefix.find_first_of("?# ") != std::string::npos)
                add(Kind::NeverMatches, entry, "its prefix is not the beginning of a path");
            if (!m_config.service(queue.service))
                add(Kind::Error, entry, "there is no service " + queue.service.value);
            else if (m_config.service(queue.service)->standby)
                add(Kind::Contradiction, entry, "the machines of its service are powered off");
            if (queue.maxAttempts == 0)
                add(Kind::Contradiction, entry, "with 0 attempts each job fails before its first run");
            if (!(queue.slackFactor >= 1))
                add(Kind::Contradiction, entry, "no job can complete in less time than its critical path");
            if (queue.advisor && queue.advisor->ticketValidity <= shortestUsableTicket)
                add(Kind::Contradiction, entry, "tickets expire before a task can be started with them");
            if (queue.requiresKey && m_config.accounts.empty())
                add(Kind::Error, entry, "it requires a key, and no account has one");
        }

        void checkService(const ServiceConfig& service)
        {
            const std::string entry = "service " + service.id.value;
            if (service.id.empty() || !m_serviceIds.insert(service.id).second)
                add(Kind::Error, entry, "its name is empty or used twice");
            if (std::none_of(m_config.queues.begin(), m_config.queues.end(),
                    [&](const QueueConfig& queue) { return queue.service == service.id; }))
                add(Kind::NeverMatches, entry, "no queue uses it");
        }

        void checkAccount(const ClientAccount& account)
        {
            const std::string entry = "account " + account.id.value;
            if (account.id.empty() || !m_accountIds.insert(account.id).second)
                add(Kind::Error, entry, "its name is empty or used twice");
            if (!(account.weight > 0))
                add(Kind::Error, entry, "its weight is not positive");
            if (account.keys.empty())
                add(Kind::NeverMatches, entry, "it has no key");
            for (const std::string& key : account.keys) {
                if (!isSendable(key))
                    add(Kind::NeverMatches, entry, "one of its keys can't be sent in a header");
                // The key itself is not shown, since findings end up in logs and tickets.
                if (const auto [first, added] = m_keyHolders.try_emplace(key, account.id); !added)
                    add(Kind::Error, entry, "one of its keys belongs to account " + first->second.value + " too");
            }
            if (const Resources& maximum = account.maximum; !Resources {}.fitsIn(maximum))
                add(Kind::Error, entry, "its maximum is negative");
        }

        const CellConfig& m_config;
        std::vector<ConfigFinding> m_findings;
        std::set<QueueId> m_queueIds;
        std::set<ServiceId> m_serviceIds;
        std::set<AccountId> m_accountIds;
        std::map<std::pair<std::string, std::string>, QueueId> m_selectors; ///< First queue by host and prefix.
        std::map<std::string, AccountId> m_keyHolders; ///< First account by key.
    };

    Fields fieldsOf(const QueueConfig& queue)
    {
        Fields fields { { "host", queue.host }, { "prefix", queue.prefix }, { "service", queue.service.value },
            { "timeout", std::to_string(queue.timeout.count()) + " ms" },
            { "target latency", std::to_string(queue.targetLatency.count()) + " ms" },
            { "priority", std::to_string(queue.priority) }, { "attempts", std::to_string(queue.maxAttempts) },
            { "slack factor", numberText(queue.slackFactor) }, { "requires a key", queue.requiresKey ? "yes" : "no" },
            { "advisor", "none" } };
        if (queue.advisor)
            fields["advisor"] = std::to_string(queue.advisor->base.count()) + " us, "
                + std::to_string(queue.advisor->perTarget.count()) + " us a target, tickets for "
                + std::to_string(queue.advisor->ticketValidity.count()) + " ms";
        return fields;
    }

    Fields fieldsOf(const ServiceConfig& service)
    {
        return { { "targets enforce capacity", service.targetsEnforceCapacity ? "yes" : "no" },
            { "standby", service.standby ? "yes" : "no" } };
    }

    /** Keys are counted and compared, but never shown. */
    Fields fieldsOf(const ClientAccount& account)
    {
        return { { "weight", numberText(account.weight) }, { "maximum", resourcesText(account.maximum) } };
    }

    void addKeyChanges(const ClientAccount& before, const ClientAccount& after, std::vector<ConfigChange>& changes)
    {
        const std::set<std::string> old(before.keys.begin(), before.keys.end());
        const std::set<std::string> present(after.keys.begin(), after.keys.end());
        const auto missingIn = [](const std::set<std::string>& from, const std::set<std::string>& in) {
            return std::count_if(from.begin(), from.end(), [&](const std::string& key) { return !in.contains(key); });
        };
        if (old != present)
            changes.push_back(
                { "account " + after.id.value, "keys", std::to_string(missingIn(old, present)) + " removed",
                    std::to_string(missingIn(present, old)) + " added" });
    }
    void addKeyChanges(const QueueConfig&, const QueueConfig&, std::vector<ConfigChange>&) { }
    void addKeyChanges(const ServiceConfig&, const ServiceConfig&, std::vector<ConfigChange>&) { }

    template <typename Entry>
    void diffEntries(const char* kind, const std::vector<Entry>& before, const std::vector<Entry>& after,
        std::vector<ConfigChange>& changes)
    {
        const auto byId = [](const std::vector<Entry>& entries) {
            std::map<std::string, const Entry*> found;
            for (const Entry& entry : entries)
                found.emplace(entry.id.value, &entry);
            return found;
        };
        const auto old = byId(before);
        const auto present = byId(after);
        for (const auto& [id, entry] : old) {
            if (!present.contains(id))
                changes.push_back({ std::string(kind) + ' ' + id, {}, "present", {} });
        }
        for (const auto& [id, entry] : present) {
            const std::string name = std::string(kind) + ' ' + id;
            const auto former = old.find(id);
            if (former == old.end()) {
                changes.push_back({ name, {}, {}, "present" });
                continue;
            }
            const Fields fields = fieldsOf(*entry);
            for (const auto& [field, value] : fieldsOf(*former->second)) {
                if (const std::string& now = fields.at(field); now != value)
                    changes.push_back({ name, field, value, now });
            }
            addKeyChanges(*former->second, *entry, changes);
        }
    }

} // namespace

/** Returns all problems of a configuration, by entry in the order of the configuration. */
std::vector<ConfigFinding> checkConfig(const CellConfig& config) { return Checker(config).run(); }

/** Returns what differs between two versions. API keys are counted, not shown. */
std::vector<ConfigChange> diffConfigs(const CellConfig& before, const CellConfig& after)
{
    std::vector<ConfigChange> changes;
    if (before.version != after.version)
        changes.push_back(
            { "configuration", "version", std::to_string(before.version), std::to_string(after.version) });
    if (before.maxBodyBytes != after.maxBodyBytes)
        changes.push_back({ "configuration", "body limit", std::to_string(before.maxBodyBytes) + " bytes",
            std::to_string(after.maxBodyBytes) + " bytes" });
    diffEntries("queue", before.queues, after.queues, changes);
    diffEntries("service", before.services, after.services, changes);
    diffEntries("account", before.accounts, after.accounts, changes);
    return changes;
}

/** Formats a finding as one line. */
std::string findingText(const ConfigFinding& finding)
{
    static constexpr std::array<const char*, 3> names { "error", "never matches", "contradiction" };
    return std::string(names[static_cast<std::size_t>(finding.kind)]) + ": " + finding.entry + ": " + finding.problem;
}

/** Formats a difference as one line. */
std::string changeText(const ConfigChange& change)
{
    if (change.field.empty())
        return (change.before.empty() ? "added: " : "removed: ") + change.entry;
    return "changed: " + change.entry + ": " + change.field + ": " + change.before + " -> " + change.after;
}

} // namespace sp
