/** @file bundle_keeper.h Which bundle is in force in this process; it never goes back to an older one. */
#pragma once

#include "bundle_type.h"
#include "core_type.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sp {

inline constexpr const char* bundleHeadKey = "/sp/live/bundle";

/** Value of the bundle head in the store. */
struct BundleHead {
    BundleVersion version;
    std::string digest;
    BundleVersion previous; ///< Version of the data centres that are not in stages; 0 for none.
    std::string previousDigest;
    std::vector<DataCentreId> stages; ///< Data centres in which @p version is in force.
    std::string state; ///< `rolling`, `in_force` or `stopped`.
    std::string token; ///< Tells the writer whether a lost write took effect.
};

std::optional<BundleHead> parseBundleHead(const std::string& json);
std::string bundleHeadJson(const BundleHead& head);
std::string bundleKey(BundleVersion version);

/** Hooks of the keeper. */
struct BundleKeeperHooks {
    std::function<StoreTicket(StoreRequest)> call;
    std::function<void(const HostId& peer, BundleVersion version)> fetch; ///< Asks a peer for a text.
    std::function<void(const Bundle& bundle, Time now)> applied;
};

/** Keeps the newest bundle that is meant for this data centre. */
class BundleKeeper {
public:
    BundleKeeper(DataCentreId dataCentre, BundleKeeperHooks hooks);
    void headChanged(const std::string& json, Time now);
    void peerHas(const HostId& peer, bool sameDataCentre, BundleVersion version, const std::string& digest,
        bool storeFresh, Time now);
    bool storeReplied(const StoreReply& reply, Time now);
    void textReceived(const BundleTextMessage& message, Time now);
    void tick(Time now);
    std::optional<BundleTextMessage> textFor(BundleVersion version) const;
    const std::optional<Bundle>& bundle() const { return m_bundle; }

private:
    bool apply(BundleVersion version, const std::string& digest, const std::string& text, Time now);

    DataCentreId m_dataCentre;
    BundleKeeperHooks m_hooks;
    std::optional<BundleHead> m_head;
    std::optional<Bundle> m_bundle;
    std::string m_text; ///< Text of the bundle in force.
    BundleVersion m_wanted; ///< Version to fetch, 0 if none.
    std::string m_wantedDigest;
    StoreTicket m_pending;
    Time m_nextFetch {};
};

} // namespace sp
