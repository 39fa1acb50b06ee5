#include "bundle_keeper.h"
#include "bundle.h"
#include "log_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds fetchRetry { 500 };

} // namespace

/** Parses the bundle head. @param json Value in the store. @return Head, absent if malformed. */
std::optional<BundleHead> parseBundleHead(const std::string& json)
{
    const auto object = nlohmann::json::parse(json, nullptr, false);
    if (!object.is_object() || !object.contains("version") || !object["version"].is_number_unsigned())
        return std::nullopt;
    const auto text = [&](const char* name) {
        const auto it = object.find(name);
        return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    BundleHead head;
    head.version = BundleVersion(object["version"].get<std::uint64_t>());
    head.digest = text("digest");
    if (object.contains("previous") && object["previous"].is_number_unsigned())
        head.previous = BundleVersion(object["previous"].get<std::uint64_t>());
    head.previousDigest = text("previous_digest");
    head.state = text("state");
    head.token = text("token");
    if (const auto it = object.find("stages"); it != object.end() && it->is_array()) {
        for (const auto& item : *it) {
            if (item.is_string())
                head.stages.emplace_back(item.get<std::string>());
        }
    }
    return head;
}

/** @param head Head. @return Value for the store. */
std::string bundleHeadJson(const BundleHead& head)
{
    nlohmann::json stages = nlohmann::json::array();
    for (const DataCentreId& stage : head.stages)
        stages.push_back(stage.value);
    return nlohmann::json {
        { "version", head.version.value }, { "digest", head.digest }, { "previous", head.previous.value },
        { "previous_digest", head.previousDigest }, { "stages", stages }, { "state", head.state },
        { "token", head.token }
    }.dump();
}

/** Key of a bundle's text. @param version Version. @return Key in the store. */
std::string bundleKey(BundleVersion version) { return "/sp/bundle/v/" + std::to_string(version.value); }

/** @param dataCentre Data centre of the process. @param hooks Hooks. */
BundleKeeper::BundleKeeper(DataCentreId dataCentre, BundleKeeperHooks hooks)
    : m_dataCentre(std::move(dataCentre))
    , m_hooks(std::move(hooks))
{
}

/** Takes a new head. @param json Value of the head key. @param now Present time. */
void BundleKeeper::headChanged(const std::string& json, Time now)
{
    const auto head = parseBundleHead(json);
    if (!head) {
        logWarning(LogPart::Bundle, "The bundle head in the store is malformed.");
        return;
    }
    m_head = head;
    const bool staged = std::find(head->stages.begin(), head->stages.end(), m_dataCentre) != head->stages.end();
    const BundleVersion version = staged ? head->version : head->previous;
    if (version.value == 0 || (m_bundle && version <= m_bundle->version) || version <= m_wanted)
        return;
    m_wanted = version;
    m_wantedDigest = staged ? head->digest : head->previousDigest;
    m_pending = {};
    m_nextFetch = now;
    tick(now);
}

/**
 * Takes the bundle that a peer has in force. It is fetched from the peer only while the store does not answer.
 * @param peer Peer. @param sameDataCentre Whether it is in this data centre. @param version Version. @param digest
 * Digest.
 * @param storeFresh Whether the store has answered lately. @param now Present time.
 */
void BundleKeeper::peerHas(const HostId& peer, bool sameDataCentre, BundleVersion version, const std::string& digest,
    bool storeFresh, Time now)
{
    if (storeFresh || !sameDataCentre || version.value == 0 || (m_bundle && version <= m_bundle->version)
        || now < m_nextFetch)
        return;
    m_wanted = std::max(m_wanted, version);
    m_wantedDigest = m_wanted == version ? digest : m_wantedDigest;
    m_nextFetch = now + fetchRetry;
    m_hooks.fetch(peer, version);
}

/** Takes a reply of the store. @param reply Reply. @param now Present time. @return False if the ticket is not the
 * keeper's. */
bool BundleKeeper::storeReplied(const StoreReply& reply, Time now)
{
    if (!m_pending.value || reply.ticket != m_pending)
        return false;
    m_pending = {};
    if (reply.status == StoreStatus::Ok && !reply.values.empty())
        apply(m_wanted, m_wantedDigest, reply.values.front().value, now);
    return true;
}

/** Takes a text from a peer. @param message Text. @param now Present time. */
void BundleKeeper::textReceived(const BundleTextMessage& message, Time now)
{
    if (message.version == m_wanted && message.digest == m_wantedDigest)
        apply(message.version, message.digest, message.text, now);
}

/** Fetches the wanted text from the store if that is due. @param now Present time. */
void BundleKeeper::tick(Time now)
{
    if (m_wanted.value == 0 || (m_bundle && m_wanted <= m_bundle->version) || m_pending.value || now < m_nextFetch)
        return;
    m_nextFetch = now + fetchRetry;
    m_pending = m_hooks.call(StoreRange { bundleKey(m_wanted), false, {} });
}

/** Text for a peer. @param version Version that it asks for. @return Text, absent unless that version is in force here.
 */
std::optional<BundleTextMessage> BundleKeeper::textFor(BundleVersion version) const
{
    if (!m_bundle || m_bundle->version != version)
        return std::nullopt;
    return BundleTextMessage { version, m_bundle->digest, m_text,
        m_head ? m_head->stages : std::vector<DataCentreId>() };
}

bool BundleKeeper::apply(BundleVersion version, const std::string& digest, const std::string& text, Time now)
{
    if (m_bundle && version <= m_bundle->version)
        return false;
    if (sha256Hex(text) != digest) {
        logWarning(LogPart::Bundle, "Version " + std::to_string(version.value) + " is refused: its digest differs.");
        return false;
    }
    BundleParse parse = parseBundle(text);
    if (!parse.bundle || parse.bundle->version != version) {
        logWarning(LogPart::Bundle, "Version " + std::to_string(version.value) + " is refused: it does not parse.");
        return false;
    }
    m_bundle = std::move(parse.bundle);
    m_text = text;
    logInfo(LogPart::Bundle, "Version " + std::to_string(version.value) + " is in force.");
    m_hooks.applied(*m_bundle, now);
    return true;
}

} // namespace sp
