#include "bundle_store.h"
#include "chart_text.h"
#include "state_chart.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

namespace sp {

namespace {

    constexpr const char* proposalPrefix = "/sp/bundle/proposal/";
    constexpr const char* memberPrefix = "/sp/live/member/";
    /** Highest version ever proposed. Without it two operators could propose versions 5 and 6 at once, and the lower
     * one could arrive last. */
    constexpr const char* highestKey = "/sp/bundle/highest";
    constexpr int storeAttempts = 6;
    constexpr std::chrono::milliseconds firstPause { 100 };
    constexpr std::size_t maxValueSize = 1000000; ///< The store holds values up to 1 MB.

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
    }

    std::string textField(const nlohmann::json& object, const char* name)
    {
        const auto it = object.find(name);
        return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return text;
    }

    bool isOperatorName(const std::string& name)
    {
        return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char letter) {
            return std::isalnum(letter) || letter == '-' || letter == '_' || letter == '.' || letter == '@';
        });
    }

    BundleResult refused(BundleVersion version, std::string detail)
    {
        return { BundleOutcome::Refused, version, {}, std::move(detail), {} };
    }

    std::string versionText(BundleVersion version) { return "version " + std::to_string(version.value); }

    std::string reasonToLag(const MemberState& member, const std::optional<BundleHead>& head)
    {
        if (!head)
            return "no bundle was rolled out yet";
        if (member.bundle >= head->version)
            return {};
        if (member.bundle < member.wanted) {
            if (member.draining)
                return "is shutting down";
            return member.bundle.value == 0 ? "has no bundle yet; /readyz on its admin address says why"
                                            : "has not applied the version meant for its data centre; see its log";
        }
        return head->state == "stopped" ? "roll-out was stopped before its data centre"
                                        : "roll-out has not reached its data centre";
    }

    std::optional<MemberState> parseMember(const StoreKeyValue& entry, const std::optional<BundleHead>& head)
    {
        const auto object = nlohmann::json::parse(entry.value, nullptr, false);
        if (!object.is_object())
            return std::nullopt;
        MemberState member;
        member.host = HostId(entry.key.substr(std::char_traits<char>::length(memberPrefix)));
        member.dataCentre = DataCentreId(textField(object, "data_centre"));
        if (const auto it = object.find("bundle"); it != object.end() && it->is_number_unsigned())
            member.bundle = BundleVersion(it->get<std::uint64_t>());
        if (const auto it = object.find("draining"); it != object.end() && it->is_boolean())
            member.draining = it->get<bool>();
        if (head) {
            const auto& stages = head->stages;
            const bool staged = std::find(stages.begin(), stages.end(), member.dataCentre) != stages.end();
            member.wanted = staged ? head->version : head->previous;
        }
        member.reason = reasonToLag(member, head);
        return member;
    }

} // namespace

/** @param key Key in the store. @param json Its value. @return Proposal, absent if malformed. */
std::optional<BundleProposal> parseProposal(const std::string& key, const std::string& json)
{
    const auto object = nlohmann::json::parse(json, nullptr, false);
    if (!object.is_object() || !key.starts_with(proposalPrefix))
        return std::nullopt;
    const auto version = parseNumber(std::string_view(key).substr(std::string_view(proposalPrefix).size()));
    if (!version)
        return std::nullopt;
    return BundleProposal { BundleVersion(*version), textField(object, "text"), textField(object, "digest"),
        textField(object, "proposer"), textField(object, "proposed_at"), textField(object, "approver"),
        textField(object, "approved_at"), textField(object, "token") };
}

/** @param proposal Proposal. @return Value for the store. */
std::string proposalJson(const BundleProposal& proposal)
{
    const nlohmann::json object { { "text", proposal.text }, { "digest", proposal.digest },
        { "proposer", proposal.proposer }, { "proposed_at", proposal.proposedAt }, { "approver", proposal.approver },
        { "approved_at", proposal.approvedAt }, { "token", proposal.token } };
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** @param version Version. @return Key of its proposal. */
std::string proposalKey(BundleVersion version) { return proposalPrefix + std::to_string(version.value); }

/**
 * State of a version in charts/bundle.chart.
 * @param status What the store holds. @param version Version. @return Name of the state.
 */
std::string bundlePhase(const BundleStatus& status, BundleVersion version)
{
    if (status.head && version == status.head->version)
        return status.head->state;
    const auto it = status.proposals.find(version);
    if (it == status.proposals.end())
        return "none";
    if (status.head && version < status.head->version)
        return "replaced";
    return it->second.approver.empty() ? "proposed" : "approved";
}

/**
 * Whether charts/bundle.chart allows a step.
 * @param phase State of the version. @param event Step. @return False if the state ignores it.
 */
bool bundleChartAllows(const std::string& phase, const std::string& event)
{
    static const StateChart chart = *StateChart::parse(bundleChartText, "charts/bundle.chart");
    const auto state = chart.state(phase);
    return state && chart.next(*state, chart.event(event).value()).has_value();
}

/** @param hooks Hooks. */
BundleStore::BundleStore(BundleStoreHooks hooks)
    : m_hooks(std::move(hooks))
{
}

/** Reads a key or prefix; a read has no effect, so it is repeated. Absent if the store stays away. */
std::optional<std::vector<StoreKeyValue>> BundleStore::read(const std::string& key, bool prefix)
{
    auto wait = firstPause;
    for (int attempt = 0; attempt < storeAttempts; ++attempt, wait *= 2) {
        StoreReply reply = m_hooks.store.call(StoreRange { key, prefix, {} });
        if (reply.status == StoreStatus::Ok)
            return std::move(reply.values);
        m_hooks.pause(wait);
    }
    return std::nullopt;
}

std::optional<BundleStore::HeadRead> BundleStore::readHead()
{
    const auto values = read(bundleHeadKey);
    if (!values)
        return std::nullopt;
    HeadRead result;
    if (!values->empty()) {
        result.head = parseBundleHead(values->front().value);
        result.revision = values->front().modRevision;
        result.malformed = !result.head;
    }
    return result;
}

bool BundleStore::hasToken(const StoreKeyValue& entry, const std::string& token) const
{
    const auto object = nlohmann::json::parse(entry.value, nullptr, false);
    const std::string tokens = object.is_object() ? textField(object, "token") : std::string();
    return tokens == token || tokens.starts_with(token + ",") || tokens.ends_with("," + token);
}

/**
 * Performs a transaction whose conditions can hold only once. A lost answer is read back by token; if the write is not
 * there, the transaction is sent again: whichever of the two copies the store takes first makes the other one fail.
 * @param txn Transaction. @param tokenKey Key that it writes with @p token. @param token Token.
 * @param revision Set to the revision of the key if it was written.
 */
BundleStore::Commit BundleStore::commit(
    const StoreTxn& txn, const std::string& tokenKey, const std::string& token, Revision& revision)
{
    bool lost = false;
    auto wait = firstPause;
    for (int attempt = 0; attempt < storeAttempts; ++attempt, wait *= 2) {
        const StoreReply reply = m_hooks.store.call(txn);
        if (reply.status == StoreStatus::Ok) {
            revision = reply.revision;
            return Commit::Written;
        }
        if (reply.status == StoreStatus::Refused) {
            m_hooks.pause(wait);
            continue;
        }
        if (reply.status != StoreStatus::Lost && !lost)
            return Commit::Beaten;
        lost = true;
        const auto values = read(tokenKey);
        if (!values)
            return Commit::Unknown;
        if (!values->empty() && hasToken(values->front(), token)) {
            revision = values->front().modRevision;
            return Commit::Written;
        }
        if (reply.status != StoreStatus::Lost)
            return Commit::Beaten;
    }
    return lost ? Commit::Unknown : Commit::StoreUnreached;
}

BundleResult BundleStore::notWritten(Commit commit, BundleVersion version) const
{
    if (commit == Commit::StoreUnreached)
        return { BundleOutcome::StoreUnreached, version, {}, "The store was not reached; nothing was changed.", {} };
    return { BundleOutcome::Unknown, version, {},
        "The store's answer was lost and could not be read back; `spctl history` shows what took effect.", {} };
}

BundleResult BundleStore::proposalBeaten(BundleVersion version)
{
    const auto values = read(highestKey);
    const auto highest = values && !values->empty() ? parseNumber(values->front().value) : std::nullopt;
    if (!highest)
        return { BundleOutcome::Conflict, version, {}, "Another operator's proposal came first.", {} };
    return { BundleOutcome::Conflict, version, BundleVersion(*highest),
        "Another operator's proposal came first: " + versionText(BundleVersion(*highest)) + ".", {} };
}

/** Checks a text by itself and against the head. @return Refusal, absent if there is nothing to complain of. */
std::optional<BundleResult> BundleStore::checkAgainstHead(
    const BundleParse& parse, const std::string& text, const HeadRead& head)
{
    BundleResult result { BundleOutcome::Refused, {}, {}, "The bundle has errors.", parse.problems };
    if (!parse.bundle)
        return result;
    result.version = parse.bundle->version;
    if (head.malformed)
        return refused(result.version, std::string("The value of ") + bundleHeadKey + " is malformed.");
    if (!head.head)
        return std::nullopt;
    const auto values = read(bundleKey(head.head->version));
    if (!values)
        return notWritten(Commit::StoreUnreached, result.version);
    const auto earlier = values->empty() ? BundleParse {} : parseBundle(values->front().value);
    if (!earlier.bundle)
        return refused(result.version, "The text of " + versionText(head.head->version) + " in the store is broken.");
    result.problems = checkSuccession(*earlier.bundle, *parse.bundle);
    locateProblems(text, result.problems);
    return result.problems.empty() ? std::nullopt : std::optional(result);
}

/**
 * Proposes a bundle. A bad text is refused whole, with all its problems.
 * @param text Text of the bundle. @param proposer Name of the operator. @param at Present time in RFC 3339.
 * @return Done, Refused, Conflict with the version that came first, StoreUnreached or Unknown.
 */
BundleResult BundleStore::propose(const std::string& text, const std::string& proposer, const std::string& at)
{
    const BundleParse parse = parseBundle(text);
    if (!isOperatorName(proposer))
        return refused({}, "'" + proposer + "' is no operator name: letters, digits and - _ . @ are allowed.");
    if (!parse.bundle)
        return { BundleOutcome::Refused, {}, {}, "The bundle has errors.", parse.problems };
    const BundleVersion version = parse.bundle->version;
    const auto head = readHead();
    if (!head)
        return notWritten(Commit::StoreUnreached, version);
    if (auto refusal = checkAgainstHead(parse, text, *head))
        return *refusal;
    const auto counter = read(highestKey);
    if (!counter)
        return notWritten(Commit::StoreUnreached, version);
    const auto highest = counter->empty() ? std::optional<std::uint64_t>(0) : parseNumber(counter->front().value);
    if (!highest)
        return refused(version, std::string("The value of ") + highestKey + " is malformed.");
    if (version.value <= *highest) {
        BundleResult result = refused(version, "The bundle has errors.");
        result.problems = { { 0, "bundle.version", "is not higher than proposed version " + std::to_string(*highest),
            "at least " + std::to_string(*highest + 1) } };
        locateProblems(text, result.problems);
        return result;
    }
    const BundleProposal proposal { version, text, parse.bundle->digest, proposer, at, {}, {}, m_hooks.newToken() };
    const std::string value = proposalJson(proposal);
    if (value.size() > maxValueSize)
        return refused(
            version, "The bundle does not fit a value of the store (" + std::to_string(maxValueSize) + " bytes).");
    StoreCompare unchanged { StoreCompare::Kind::Absent, highestKey, {}, {} };
    if (!counter->empty())
        unchanged = { StoreCompare::Kind::ModRevision, highestKey, counter->front().modRevision, {} };
    const std::string key = proposalKey(version);
    const StoreTxn txn { { unchanged, { StoreCompare::Kind::Absent, key, {}, {} } },
        { { StoreWrite::Kind::Put, key, value, {} },
            { StoreWrite::Kind::Put, highestKey, std::to_string(version.value), {} } },
        {} };
    Revision revision;
    const Commit commit = this->commit(txn, key, proposal.token, revision);
    if (commit == Commit::Beaten)
        return proposalBeaten(version);
    if (commit != Commit::Written)
        return notWritten(commit, version);
    return { BundleOutcome::Done, version, {}, "Proposed " + versionText(version) + ".", {} };
}

/**
 * Approves a proposal and writes the text of its version.
 * @param version Version. @param approver Operator, another one than the proposer. @param at Present time in RFC 3339.
 * @return Done, Refused, Conflict, StoreUnreached or Unknown.
 */
BundleResult BundleStore::approve(BundleVersion version, const std::string& approver, const std::string& at)
{
    if (!isOperatorName(approver))
        return refused(version, "'" + approver + "' is no operator name: letters, digits and - _ . @ are allowed.");
    const std::string key = proposalKey(version);
    const auto values = read(key);
    if (!values)
        return notWritten(Commit::StoreUnreached, version);
    if (values->empty())
        return refused(version, "There is no proposal of " + versionText(version) + ".");
    auto proposal = parseProposal(key, values->front().value);
    if (!proposal || proposal->digest != sha256Hex(proposal->text))
        return refused(version, "The proposal of " + versionText(version) + " in the store is broken.");
    if (!bundleChartAllows(proposal->approver.empty() ? "proposed" : "approved", "approve"))
        return { BundleOutcome::Conflict, version, version,
            "Approved already by " + proposal->approver + " at " + proposal->approvedAt + ".", {} };
    if (lower(proposal->proposer) == lower(approver))
        return refused(version, "The proposer can't approve; another operator has to.");
    const auto head = readHead();
    if (!head)
        return notWritten(Commit::StoreUnreached, version);
    if (auto refusal = checkAgainstHead(parseBundle(proposal->text), proposal->text, *head))
        return *refusal;
    const std::string token = m_hooks.newToken();
    proposal->approver = approver;
    proposal->approvedAt = at;
    proposal->token += "," + token;
    const StoreTxn txn { { { StoreCompare::Kind::ModRevision, key, values->front().modRevision, {} },
                             { StoreCompare::Kind::Absent, bundleKey(version), {}, {} } },
        { { StoreWrite::Kind::Put, key, proposalJson(*proposal), {} },
            { StoreWrite::Kind::Put, bundleKey(version), proposal->text, {} } },
        {} };
    Revision revision;
    const Commit commit = this->commit(txn, key, token, revision);
    if (commit == Commit::Beaten)
        return { BundleOutcome::Conflict, version, version, "Another operator approved it first.", {} };
    if (commit != Commit::Written)
        return notWritten(commit, version);
    return { BundleOutcome::Done, version, {}, "Approved " + versionText(version) + ".", {} };
}

/** @return What the store holds, absent if it is not reached. */
std::optional<BundleStatus> BundleStore::status()
{
    const auto head = readHead();
    const auto members = head ? read(memberPrefix, true) : std::nullopt;
    const auto proposals = members ? read(proposalPrefix, true) : std::nullopt;
    if (!proposals)
        return std::nullopt;
    BundleStatus status;
    status.head = head->head;
    for (const StoreKeyValue& entry : *members) {
        if (auto member = parseMember(entry, status.head))
            status.members.push_back(std::move(*member));
    }
    for (const StoreKeyValue& entry : *proposals) {
        if (auto proposal = parseProposal(entry.key, entry.value))
            status.proposals.emplace(proposal->version, std::move(*proposal));
    }
    return status;
}

/** @param version Version. @return Its proposal or nothing; absent if the store is not reached. */
std::optional<std::optional<BundleProposal>> BundleStore::proposal(BundleVersion version)
{
    const auto values = read(proposalKey(version));
    if (!values)
        return std::nullopt;
    using Found = std::optional<BundleProposal>;
    return values->empty() ? Found() : parseProposal(values->front().key, values->front().value);
}

} // namespace sp
