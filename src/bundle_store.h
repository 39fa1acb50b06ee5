/** @file bundle_store.h Proposals, approval and roll-out of bundles in the store. */
#pragma once

#include "bundle.h"
#include "bundle_keeper.h"
#include "health_counts.h"
#include "store_type.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sp {

/** How an operator's change ended. */
enum class BundleOutcome : std::uint8_t {
    Done,
    Refused, ///< Not allowed, or stopped by the health figures.
    Conflict, ///< Another operator's change won.
    StoreUnreached, ///< The store was not reached: nothing was changed.
    Unknown, ///< The store's answer was lost and could not be read back.
};

/** Result of an operator's change. */
struct BundleResult {
    BundleOutcome outcome = BundleOutcome::Done;
    BundleVersion version; ///< Version that was to be changed.
    std::optional<BundleVersion> winner; ///< Conflict: version that won.
    std::string detail; ///< One sentence for the operator.
    std::vector<TextProblem> problems; ///< Refused: everything that is wrong with the text.
};

/** Value of `/sp/bundle/proposal/<n>`. */
struct BundleProposal {
    BundleVersion version; ///< Part of the key.
    std::string text;
    std::string digest;
    std::string proposer;
    std::string proposedAt; ///< RFC 3339.
    std::string approver; ///< Empty until approved.
    std::string approvedAt;
    std::string token; ///< Tokens of the proposal and of the approval, separated by a comma.
};

std::optional<BundleProposal> parseProposal(const std::string& key, const std::string& json);
std::string proposalJson(const BundleProposal& proposal);
std::string proposalKey(BundleVersion version);

/** One scheduler as the store shows it. */
struct MemberState {
    HostId host;
    DataCentreId dataCentre;
    BundleVersion bundle; ///< Version in force in the process, 0 for none.
    BundleVersion wanted; ///< Version that is meant for its data centre.
    bool draining = false;
    std::string reason; ///< Why it is not at the newest version; empty if it is.
    bool lags() const { return bundle < wanted; }
};

/** What `spctl status` shows. */
struct BundleStatus {
    std::optional<BundleHead> head;
    std::vector<MemberState> members;
    std::map<BundleVersion, BundleProposal> proposals;
};

/** Hooks of the operators' side. */
struct BundleStoreHooks {
    StoreHooks store;
    std::function<std::string()> newToken; ///< A token that no other writer uses.
    std::function<void(std::chrono::milliseconds)> pause;
};

/** Hooks of a roll-out. */
struct RollHooks {
    std::function<HealthCounts()> health; ///< If empty, the stages are neither watched nor spaced.
    std::function<void(const std::string&)> progress; ///< Takes a sentence for each step.
};

/** Operators' changes of bundles; every change is one transaction, so that of two racing operators one wins. */
class BundleStore {
public:
    explicit BundleStore(BundleStoreHooks hooks);

    BundleResult propose(const std::string& text, const std::string& proposer, const std::string& at);
    BundleResult approve(BundleVersion version, const std::string& approver, const std::string& at);
    BundleResult roll(BundleVersion version, const RollHooks& hooks);
    std::optional<BundleStatus> status();
    std::optional<std::optional<BundleProposal>> proposal(BundleVersion version);

private:
    enum class Commit : std::uint8_t { Written, Beaten, StoreUnreached, Unknown };
    struct HeadRead {
        std::optional<BundleHead> head;
        Revision revision; ///< Revision of the key, 0 if it is absent.
        bool malformed = false;
    };
    struct RollOut {
        Bundle bundle;
        BundleHead head; ///< As last written.
        Revision revision; ///< Of the head in the store.
    };

    std::optional<std::vector<StoreKeyValue>> read(const std::string& key, bool prefix = false);
    std::optional<HeadRead> readHead();
    bool hasToken(const StoreKeyValue& entry, const std::string& token) const;
    Commit commit(const StoreTxn& txn, const std::string& tokenKey, const std::string& token, Revision& revision);
    BundleResult notWritten(Commit commit, BundleVersion version) const;
    BundleResult proposalBeaten(BundleVersion version);
    BundleResult headBeaten(BundleVersion version);
    std::optional<BundleResult> checkAgainstHead(
        const BundleParse& parse, const std::string& text, const HeadRead& head);
    std::optional<BundleResult> beginRoll(BundleVersion version, RollOut& rollOut);
    std::optional<BundleResult> writeHead(RollOut& rollOut, const std::string& state);
    std::optional<std::string> watchStage(
        const HealthLimits& limits, const HealthCounts& before, const RollHooks& hooks);

    BundleStoreHooks m_hooks;
};

bool bundleChartAllows(const std::string& phase, const std::string& event);
std::string bundlePhase(const BundleStatus& status, BundleVersion version);

} // namespace sp
