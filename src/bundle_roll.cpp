#include "bundle_store.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds healthPoll { 250 };

    std::string versionText(BundleVersion version) { return "version " + std::to_string(version.value); }

    bool contains(const std::vector<DataCentreId>& list, const DataCentreId& item)
    {
        return std::find(list.begin(), list.end(), item) != list.end();
    }

    /** Next data centre in the order of the bundle, absent if all have the version. */
    std::optional<DataCentreId> nextStage(const Bundle& bundle, const BundleHead& head)
    {
        for (const DataCentreId& dataCentre : bundle.cell.dataCentres) {
            if (!contains(head.stages, dataCentre))
                return dataCentre;
        }
        return std::nullopt;
    }

    /**
     * First head of a version. A data centre that has the version of an unfinished roll-out gets the new version at
     * once: the head has room for one previous version only, and the one before the unfinished roll-out would be a step
     * back for it.
     */
    BundleHead firstHead(const Bundle& bundle, const std::optional<BundleHead>& current)
    {
        BundleHead head;
        head.version = bundle.version;
        head.digest = bundle.digest;
        if (!current)
            return head;
        const bool finished = current->state == "in_force";
        head.previous = finished ? current->version : current->previous;
        head.previousDigest = finished ? current->digest : current->previousDigest;
        if (!finished)
            head.stages = current->stages;
        return head;
    }

} // namespace

BundleResult BundleStore::headBeaten(BundleVersion version)
{
    BundleResult result { BundleOutcome::Conflict, version, {}, "Another operator changed the bundle head.", {} };
    const auto current = readHead();
    if (!current || !current->head)
        return result;
    result.winner = current->head->version;
    result.detail = *result.winner == version
        ? "Another operator goes on with the roll-out of " + versionText(version) + "."
        : "Another operator's roll-out won: " + versionText(*result.winner) + ".";
    return result;
}

/** Finds out what is to be written. @return Result if there is nothing to do or it is refused. */
std::optional<BundleResult> BundleStore::beginRoll(BundleVersion version, RollOut& rollOut)
{
    const auto current = status();
    const auto head = current ? readHead() : std::nullopt;
    if (!head)
        return notWritten(Commit::StoreUnreached, version);
    if (head->malformed)
        return BundleResult { BundleOutcome::Refused, version, {}, "The bundle head in the store is malformed.", {} };
    if (head->head && head->head->version > version)
        return BundleResult { BundleOutcome::Conflict, version, head->head->version,
            "A newer version was rolled: " + versionText(head->head->version) + ". Versions never go back.", {} };
    BundleStatus now = *current;
    now.head = head->head;
    const std::string phase = bundlePhase(now, version);
    if (phase == "in_force")
        return BundleResult { BundleOutcome::Done, version, {}, versionText(version) + " is in force already.", {} };
    if (!bundleChartAllows(phase, "roll"))
        return BundleResult { BundleOutcome::Refused, version, {},
            phase == "none" ? "There is no proposal of " + versionText(version) + "."
                            : versionText(version) + " is not approved.",
            {} };
    const auto text = read(bundleKey(version));
    if (!text)
        return notWritten(Commit::StoreUnreached, version);
    const auto& proposal = now.proposals.find(version);
    const BundleParse parse = text->empty() ? BundleParse {} : parseBundle(text->front().value);
    if (!parse.bundle || (proposal != now.proposals.end() && proposal->second.digest != parse.bundle->digest))
        return BundleResult { BundleOutcome::Refused, version, {},
            "The text of " + versionText(version) + " in the store is not the approved one.", {} };
    rollOut.bundle = *parse.bundle;
    rollOut.revision = head->revision;
    const bool resumed = head->head && head->head->version == version;
    if (resumed) {
        rollOut.head = *head->head;
        return std::nullopt;
    }
    if (auto refusal = checkAgainstHead(parse, text->front().value, *head))
        return refusal;
    rollOut.head = firstHead(rollOut.bundle, head->head);
    return std::nullopt;
}

/** Writes the head if nobody else has changed it. @return Result if it was not written. */
std::optional<BundleResult> BundleStore::writeHead(RollOut& rollOut, const std::string& state)
{
    rollOut.head.state = state;
    rollOut.head.token = m_hooks.newToken();
    StoreCompare unchanged { StoreCompare::Kind::ModRevision, bundleHeadKey, rollOut.revision, {} };
    if (rollOut.revision.value == 0)
        unchanged = { StoreCompare::Kind::Absent, bundleHeadKey, {}, {} };
    const StoreTxn txn { { unchanged }, { { StoreWrite::Kind::Put, bundleHeadKey, bundleHeadJson(rollOut.head), {} } },
        {} };
    const Commit commit = this->commit(txn, bundleHeadKey, rollOut.head.token, rollOut.revision);
    if (commit == Commit::Beaten)
        return headBeaten(rollOut.head.version);
    if (commit != Commit::Written)
        return notWritten(commit, rollOut.head.version);
    return std::nullopt;
}

/** Watches the health figures for the time of a stage. @return What got worse, absent if nothing did. */
std::optional<std::string> BundleStore::watchStage(
    const HealthLimits& limits, const HealthCounts& before, const RollHooks& hooks)
{
    if (!hooks.health)
        return std::nullopt;
    std::chrono::milliseconds waited { 0 };
    while (true) {
        const auto step = std::min(healthPoll, limits.stageTime - waited);
        m_hooks.pause(step);
        waited += step;
        if (auto worse = worseThan(healthBetween(before, hooks.health()), limits))
            return worse;
        if (waited >= limits.stageTime)
            return std::nullopt;
    }
}

/**
 * Rolls a version out, data centre by data centre. It goes on with a roll-out that stands at a stage or was stopped; it
 * then watches that stage once more. Stops by itself when the health figures get worse.
 * @param version Approved version. @param hooks Health figures and progress.
 * @return Done, Refused if it was stopped or is not allowed, Conflict, StoreUnreached or Unknown.
 */
BundleResult BundleStore::roll(BundleVersion version, const RollHooks& hooks)
{
    RollOut rollOut;
    if (auto result = beginRoll(version, rollOut))
        return *result;
    bool addStage = rollOut.head.stages.empty();
    while (true) {
        if (const auto stage = nextStage(rollOut.bundle, rollOut.head); addStage && stage)
            rollOut.head.stages.push_back(*stage);
        const HealthCounts before = hooks.health ? hooks.health() : HealthCounts {};
        if (auto result = writeHead(rollOut, "rolling"))
            return *result;
        const std::string stage = rollOut.head.stages.empty() ? "no data centre" : rollOut.head.stages.back().value;
        if (hooks.progress)
            hooks.progress(versionText(version) + " is rolling in " + stage + ".");
        if (const auto worse = watchStage(rollOut.bundle.health, before, hooks)) {
            if (auto result = writeHead(rollOut, "stopped"))
                return *result;
            return { BundleOutcome::Refused, version, {}, "Stopped in " + stage + ": " + *worse + ".", {} };
        }
        if (!nextStage(rollOut.bundle, rollOut.head))
            break;
        addStage = true;
    }
    if (auto result = writeHead(rollOut, "in_force"))
        return *result;
    return { BundleOutcome::Done, version, {}, versionText(version) + " is in force in all data centres.", {} };
}

} // namespace sp
