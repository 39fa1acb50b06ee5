#include "etcd_codec.h"

#include "base64_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace sp {

namespace {

    using Json = nlohmann::json;

    constexpr int codeInvalidArgument = 3; ///< Codes of gRPC that etcd gives in the JSON of an error.
    constexpr int codeNotFound = 5;
    constexpr int codePermissionDenied = 7;
    constexpr int codeResourceExhausted = 8;
    constexpr int codeFailedPrecondition = 9;
    constexpr int codeOutOfRange = 11;
    constexpr int codeUnimplemented = 12;
    constexpr int codeUnauthenticated = 16;

    /** 64 bit numbers are JSON strings in etcd's form; plain numbers are read too. Absent means 0. */
    std::int64_t int64Of(const Json& object, const char* key)
    {
        const auto it = object.find(key);
        if (it == object.end())
            return 0;
        if (it->is_number_integer())
            return it->get<std::int64_t>();
        const auto& text = it->get_ref<const std::string&>();
        std::int64_t number = 0;
        const char* last = text.data() + text.size();
        const auto [end, error] = std::from_chars(text.data(), last, number);
        if (error != std::errc() || end != last)
            throw std::invalid_argument(key);
        return number;
    }

    std::uint64_t unsignedOf(const Json& object, const char* key)
    {
        const std::int64_t number = int64Of(object, key);
        if (number < 0)
            throw std::invalid_argument(key);
        return static_cast<std::uint64_t>(number);
    }

    std::string bytesOf(const Json& object, const char* key)
    {
        const auto it = object.find(key);
        if (it == object.end())
            return {};
        auto bytes = base64Decode(it->get_ref<const std::string&>());
        if (!bytes)
            throw std::invalid_argument(key);
        return std::move(*bytes);
    }

    StoreKeyValue keyValueOf(const Json& object)
    {
        return { bytesOf(object, "key"), bytesOf(object, "value"), Revision(unsignedOf(object, "mod_revision")) };
    }

    void readRange(const Json& range, StoreReply& reply)
    {
        for (const Json& entry : range.value("kvs", Json::array()))
            reply.values.push_back(keyValueOf(entry));
        reply.count += int64Of(range, "count");
    }

    void readHeader(const Json& root, StoreReply& reply)
    {
        reply.revision = Revision(unsignedOf(root.at("header"), "revision"));
    }

    Json compareJson(const StoreCompare& compare)
    {
        Json json { { "key", base64Encode(compare.key) }, { "result", "EQUAL" } };
        switch (compare.kind) {
        case StoreCompare::Kind::Absent:
            json["target"] = "CREATE";
            json["create_revision"] = "0";
            break;
        case StoreCompare::Kind::ModRevision:
            json["target"] = "MOD";
            json["mod_revision"] = std::to_string(compare.modRevision.value);
            break;
        case StoreCompare::Kind::Value:
            json["target"] = "VALUE";
            json["value"] = base64Encode(compare.value);
            break;
        }
        return json;
    }

    Json writeJson(const StoreWrite& write)
    {
        if (write.kind == StoreWrite::Kind::Delete)
            return { { "request_delete_range", { { "key", base64Encode(write.key) } } } };
        Json put { { "key", base64Encode(write.key) }, { "value", base64Encode(write.value) } };
        if (write.lease.value != 0)
            put["lease"] = std::to_string(write.lease.value);
        return { { "request_put", put } };
    }

    /** JSON body of each kind of call. */
    struct BodyWriter {
        Json operator()(const StoreTxn& txn) const
        {
            Json json { { "compare", Json::array() }, { "success", Json::array() }, { "failure", Json::array() } };
            for (const StoreCompare& compare : txn.compares)
                json["compare"].push_back(compareJson(compare));
            for (const StoreWrite& write : txn.writes)
                json["success"].push_back(writeJson(write));
            for (const std::string& key : txn.readOnFailure)
                json["failure"].push_back({ { "request_range", { { "key", base64Encode(key) } } } });
            return json;
        }

        Json operator()(const StoreRange& range) const
        {
            Json json { { "key", base64Encode(range.key) } };
            if (range.prefix)
                json["range_end"] = base64Encode(prefixEnd(range.key));
            if (range.minModRevision.value != 0)
                json["min_mod_revision"] = std::to_string(range.minModRevision.value);
            return json;
        }

        Json operator()(const StoreLeaseGrant& grant) const { return { { "TTL", std::to_string(grant.ttl.count()) } }; }

        Json operator()(const StoreLeaseKeepAlive& renewal) const
        {
            return { { "ID", std::to_string(renewal.lease.value) } };
        }

        Json operator()(const StoreLeaseRevoke& revoke) const
        {
            return { { "ID", std::to_string(revoke.lease.value) } };
        }
    };

    /** Reads the answer of each kind of call into a reply. Throws if it is malformed. */
    struct AnswerReader {
        const Json& root;
        StoreReply& reply;

        void operator()(const StoreTxn& /*txn*/) const
        {
            readHeader(root, reply);
            const bool succeeded = root.value("succeeded", false);
            for (const Json& response : root.value("responses", Json::array())) {
                if (const auto range = response.find("response_range"); range != response.end())
                    readRange(*range, reply);
            }
            reply.status = succeeded ? StoreStatus::Ok : StoreStatus::CompareFailed;
        }

        void operator()(const StoreRange& /*range*/) const
        {
            readHeader(root, reply);
            readRange(root, reply);
            reply.status = StoreStatus::Ok;
        }

        void operator()(const StoreLeaseGrant& /*grant*/) const
        {
            readHeader(root, reply);
            reply.lease = StoreLeaseId(unsignedOf(root, "ID"));
            reply.ttl = std::chrono::seconds(int64Of(root, "TTL"));
            if (reply.lease.value == 0 || reply.ttl.count() <= 0)
                throw std::invalid_argument("ID");
            reply.status = StoreStatus::Ok;
        }

        void operator()(const StoreLeaseKeepAlive& renewal) const
        {
            const Json& result = root.at("result");
            readHeader(result, reply);
            reply.lease = renewal.lease;
            reply.ttl = std::chrono::seconds(int64Of(result, "TTL"));
            if (unsignedOf(result, "ID") != renewal.lease.value)
                throw std::invalid_argument("ID");
            reply.status = reply.ttl.count() > 0 ? StoreStatus::Ok : StoreStatus::LeaseNotFound;
        }

        void operator()(const StoreLeaseRevoke& revoke) const
        {
            readHeader(root, reply);
            reply.lease = revoke.lease;
            reply.status = StoreStatus::Ok;
        }
    };

    bool usesLease(const StoreRequest& request)
    {
        if (std::holds_alternative<StoreLeaseKeepAlive>(request) || std::holds_alternative<StoreLeaseRevoke>(request))
            return true;
        const auto* txn = std::get_if<StoreTxn>(&request);
        return txn && std::any_of(txn->writes.begin(), txn->writes.end(), [](const StoreWrite& write) {
            return write.lease.value != 0;
        });
    }

    /** Status of an answer that is an error. Only codes that etcd gives before it proposes a change are refusals. */
    StoreStatus errorStatus(const StoreRequest& request, long httpStatus, const Json& root)
    {
        int code = 0;
        if (root.is_object()) {
            const auto it = root.find("code");
            if (it != root.end() && it->is_number_integer())
                code = static_cast<int>(it->get<std::int64_t>());
        }
        if (code == 0) // A front end may refuse without etcd's JSON.
            return httpStatus == 400 || httpStatus == 413 || httpStatus == 429 ? StoreStatus::Refused
                                                                               : StoreStatus::Lost;
        switch (code) {
        case codeNotFound:
            return usesLease(request) ? StoreStatus::LeaseNotFound : StoreStatus::Refused;
        case codeInvalidArgument:
        case codePermissionDenied:
        case codeResourceExhausted:
        case codeFailedPrecondition:
        case codeOutOfRange:
        case codeUnimplemented:
        case codeUnauthenticated:
            return StoreStatus::Refused;
        default:
            return StoreStatus::Lost;
        }
    }

    EtcdWatchMessage readWatch(const Json& result)
    {
        EtcdWatchMessage message;
        message.created = result.value("created", false);
        message.canceled = result.value("canceled", false);
        message.batch.revision = Revision(unsignedOf(result.at("header"), "revision"));
        // While the store catches up, its header names a later revision than the last one that is delivered.
        Revision delivered;
        for (const Json& event : result.value("events", Json::array())) {
            StoreKeyValue entry = keyValueOf(event.at("kv"));
            delivered = std::max(delivered, entry.modRevision);
            const Json type = event.value("type", Json("PUT"));
            if (type == "DELETE" || type == 1)
                message.batch.deletes.push_back(std::move(entry.key));
            else
                message.batch.puts.push_back(std::move(entry));
        }
        if (delivered.value != 0)
            message.batch.revision = delivered;
        return message;
    }

} // namespace

/** Path of a call. @param request Call. @return Path of its URL. */
const char* etcdPath(const StoreRequest& request)
{
    static constexpr std::array<const char*, 5> paths { "/v3/kv/txn", "/v3/kv/range", "/v3/lease/grant",
        "/v3/lease/keepalive", "/v3/lease/revoke" };
    return paths[request.index()];
}

/** Name of a call in metrics. @param request Call. @return Name in lower case. */
const char* etcdCallName(const StoreRequest& request)
{
    static constexpr std::array<const char*, 5> names { "txn", "range", "lease_grant", "lease_keepalive",
        "lease_revoke" };
    return names[request.index()];
}

/** Body of a call. @param request Call. @return JSON. */
std::string etcdBody(const StoreRequest& request) { return std::visit(BodyWriter {}, request).dump(); }

/** Body that opens a watch. @param prefix Prefix. @param from First revision to deliver. @return JSON. */
std::string etcdWatchBody(const std::string& prefix, Revision from)
{
    return Json {
        { "create_request",
            { { "key", base64Encode(prefix) }, { "range_end", base64Encode(prefixEnd(prefix)) },
                { "start_revision", std::to_string(from.value) } } }
    }.dump();
}

/**
 * Meaning of an ended call to the store.
 * @param request Call.
 * @param result How the call ended.
 * @return Reply without its ticket: Refused only if the call certainly had no effect, Lost if that is unknown.
 */
StoreReply parseEtcdAnswer(const StoreRequest& request, const HttpResult& result)
{
    StoreReply reply;
    reply.sentAt = result.sentAt;
    reply.status = result.sent ? StoreStatus::Lost : StoreStatus::Refused;
    if (!result.complete)
        return reply;
    const Json root = Json::parse(result.body, nullptr, false);
    if (result.status != 200) {
        reply.status = errorStatus(request, result.status, root);
        return reply;
    }
    if (root.is_object() && root.contains("error")) { // Streams report errors with status 200.
        const Json& error = root["error"];
        const Json inner
            = error.is_object() && error.contains("grpc_code") ? Json { { "code", error["grpc_code"] } } : error;
        reply.status = errorStatus(request, result.status, inner);
        return reply;
    }
    StoreReply parsed = reply;
    try {
        std::visit(AnswerReader { root, parsed }, request);
    } catch (const std::exception&) { // nlohmann-json reports a wrong type of a field by an exception.
        return reply;
    }
    return parsed;
}

/**
 * Parses one line of a watch stream.
 * @param line JSON object.
 * @return Message, nothing if it is malformed.
 */
std::optional<EtcdWatchMessage> parseEtcdWatchLine(std::string_view line)
{
    const Json root = Json::parse(line, nullptr, false);
    if (!root.is_object() || !root.contains("result"))
        return std::nullopt;
    try {
        return readWatch(root["result"]);
    } catch (const std::exception&) { // See parseEtcdAnswer.
        return std::nullopt;
    }
}

/** First key after all keys with a prefix. @param prefix Prefix. @return Key; a zero byte (no end) if there is none. */
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        if (static_cast<unsigned char>(prefix.back()) < 0xff) {
            ++prefix.back();
            return prefix;
        }
        prefix.pop_back();
    }
    return { '\0' };
}

} // namespace sp
