#include "standin/kv_json.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace sp::standin {

namespace {

    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    const Json* member(const Json& object, const char* name)
    {
        const auto it = object.find(name);
        return it == object.end() ? nullptr : &*it;
    }

    const Json* member(const Json& object, const char* name, const char* otherName)
    {
        const Json* found = member(object, name);
        return found ? found : member(object, otherName);
    }

    KvCompare::Target parseTarget(const std::string& name)
    {
        if (name == "VERSION")
            return KvCompare::Target::Version;
        if (name == "CREATE")
            return KvCompare::Target::Create;
        if (name == "MOD")
            return KvCompare::Target::Mod;
        if (name == "VALUE")
            return KvCompare::Target::Value;
        throw std::invalid_argument("unknown compare target " + name);
    }

    KvCompare::Relation parseRelation(const std::string& name)
    {
        if (name == "EQUAL")
            return KvCompare::Relation::Equal;
        if (name == "GREATER")
            return KvCompare::Relation::Greater;
        if (name == "LESS")
            return KvCompare::Relation::Less;
        if (name == "NOT_EQUAL")
            return KvCompare::Relation::NotEqual;
        throw std::invalid_argument("unknown compare result " + name);
    }

    KvCompare parseCompare(const Json& object)
    {
        KvCompare compare;
        compare.key = jsonBytes(object, "key");
        compare.target = parseTarget(object.value("target", "VERSION"));
        compare.relation = parseRelation(object.value("result", "EQUAL"));
        switch (compare.target) {
        case KvCompare::Target::Version:
            compare.number = jsonNumber(object, "version");
            break;
        case KvCompare::Target::Create:
            compare.number
                = jsonNumber(object, object.contains("createRevision") ? "createRevision" : "create_revision");
            break;
        case KvCompare::Target::Mod:
            compare.number = jsonNumber(object, object.contains("modRevision") ? "modRevision" : "mod_revision");
            break;
        case KvCompare::Target::Value:
            compare.value = jsonBytes(object, "value");
            break;
        }
        return compare;
    }

    KvOperation parseOperation(const Json& object)
    {
        KvOperation operation;
        if (const Json* put = member(object, "request_put", "requestPut")) {
            operation.kind = KvOperation::Kind::Put;
            operation.key = jsonBytes(*put, "key");
            operation.value = jsonBytes(*put, "value");
            operation.lease = jsonNumber(*put, "lease");
        } else if (const Json* range = member(object, "request_range", "requestRange")) {
            operation.kind = KvOperation::Kind::Range;
            operation.range = parseRange(*range);
        } else if (const Json* erase = member(object, "request_delete_range", "requestDeleteRange")) {
            operation.kind = KvOperation::Kind::DeleteRange;
            operation.range = parseRange(*erase);
        } else {
            throw std::invalid_argument("unknown operation in a transaction");
        }
        return operation;
    }

    std::vector<KvOperation> parseOperations(const Json& object, const char* name)
    {
        std::vector<KvOperation> operations;
        if (const Json* list = member(object, name)) {
            for (const Json& one : *list)
                operations.push_back(parseOperation(one));
        }
        return operations;
    }

    std::array<int, 256> decodeTable()
    {
        std::array<int, 256> table {};
        table.fill(-1);
        for (std::size_t i = 0; i < alphabet.size(); ++i)
            table[static_cast<unsigned char>(alphabet[i])] = static_cast<int>(i);
        return table;
    }

} // namespace

/** Encodes bytes. @param bytes Bytes. @return Base64 with padding. */
std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t have = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = (group << 8U) | (j < have ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= have ? alphabet[(group >> (18U - 6U * j)) & 63U] : '=';
    }
    return text;
}

/** Decodes base64. @param text Text with or without padding. @return Bytes, nothing if malformed. */
std::optional<std::string> decodeBase64(std::string_view text)
{
    static const std::array<int, 256> table = decodeTable();
    while (!text.empty() && text.back() == '=')
        text.remove_suffix(1);
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char c : text) {
        const int digit = table[static_cast<unsigned char>(c)];
        if (digit < 0)
            return std::nullopt;
        group = (group << 6U) | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((group >> bits) & 0xffU);
        }
    }
    return bytes;
}

/** Whole number of a member. @param object Object. @param name Member. @return Number, 0 if absent. Throws
 * std::exception if malformed. */
std::int64_t jsonNumber(const Json& object, const char* name)
{
    const Json* found = member(object, name);
    if (!found)
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

/** Bytes of a member in base64. @param object Object. @param name Member. @return Bytes, empty if absent. Throws
 * std::exception if malformed. */
std::string jsonBytes(const Json& object, const char* name)
{
    const Json* found = member(object, name);
    if (!found)
        return {};
    auto bytes = decodeBase64(found->get<std::string>());
    if (!bytes)
        throw std::invalid_argument(std::string(name) + " is not base64");
    return *bytes;
}

/** Parses the members of a range or delete call. @param object Object. @return Range. */
KvRange parseRange(const Json& object)
{
    KvRange range;
    range.key = jsonBytes(object, "key");
    range.rangeEnd = jsonBytes(object, object.contains("rangeEnd") ? "rangeEnd" : "range_end");
    range.minModRevision
        = jsonNumber(object, object.contains("minModRevision") ? "minModRevision" : "min_mod_revision");
    range.limit = jsonNumber(object, "limit");
    return range;
}

/** Parses a transaction. @param object Object. @return Transaction. Throws std::exception if malformed. */
KvTxn parseTxn(const Json& object)
{
    KvTxn txn;
    if (const Json* list = member(object, "compare")) {
        for (const Json& one : *list)
            txn.compares.push_back(parseCompare(one));
    }
    txn.success = parseOperations(object, "success");
    txn.failure = parseOperations(object, "failure");
    return txn;
}

/** Size of the largest value that a transaction may write. @param txn Transaction. @return Bytes. */
std::size_t largestValue(const KvTxn& txn)
{
    std::size_t largest = 0;
    for (const auto* operations : { &txn.success, &txn.failure }) {
        for (const KvOperation& operation : *operations)
            largest = std::max(largest, operation.value.size());
    }
    return largest;
}

/** @param revision Revision of the store. @return Header of an answer. */
Json headerJson(std::int64_t revision)
{
    return { { "cluster_id", "1" }, { "member_id", "1" }, { "revision", std::to_string(revision) },
        { "raft_term", "1" } };
}

/** @param entry Entry. @return Its JSON form; like etcd's, zero numbers are left out. */
Json entryJson(const KvEntry& entry)
{
    Json json { { "key", encodeBase64(entry.key) }, { "mod_revision", std::to_string(entry.modRevision) } };
    if (entry.createRevision != 0)
        json["create_revision"] = std::to_string(entry.createRevision);
    if (entry.version != 0)
        json["version"] = std::to_string(entry.version);
    if (!entry.value.empty())
        json["value"] = encodeBase64(entry.value);
    if (entry.lease != 0)
        json["lease"] = std::to_string(entry.lease);
    return json;
}

/** @param result Result. @param revision Revision of the store. @return Answer of a range call. */
Json rangeJson(const KvRangeResult& result, std::int64_t revision)
{
    Json json { { "header", headerJson(revision) } };
    if (!result.entries.empty()) {
        Json& list = json["kvs"] = Json::array();
        for (const KvEntry& entry : result.entries)
            list.push_back(entryJson(entry));
    }
    if (result.count != 0)
        json["count"] = std::to_string(result.count);
    if (result.more)
        json["more"] = true;
    return json;
}

/** @param result Result. @param revision Revision of the store. @return Answer of a transaction. */
Json txnJson(const KvTxnResult& result, std::int64_t revision)
{
    Json json { { "header", headerJson(revision) } };
    if (result.succeeded)
        json["succeeded"] = true;
    Json list = Json::array();
    for (const KvOperationResult& one : result.results) {
        switch (one.kind) {
        case KvOperation::Kind::Range:
            list.push_back({ { "response_range", rangeJson(one.range, revision) } });
            break;
        case KvOperation::Kind::Put:
            list.push_back({ { "response_put", { { "header", headerJson(revision) } } } });
            break;
        case KvOperation::Kind::DeleteRange:
            list.push_back({ { "response_delete_range",
                { { "header", headerJson(revision) }, { "deleted", std::to_string(one.deleted) } } } });
            break;
        }
    }
    if (!list.empty())
        json["responses"] = std::move(list);
    return json;
}

/** @param events Events. @param revision Revision of the store. @return Message of a watch. */
Json eventsJson(const std::vector<KvEvent>& events, std::int64_t revision)
{
    Json list = Json::array();
    for (const KvEvent& event : events) {
        Json one { { "kv", entryJson(event.entry) } };
        if (event.isDelete)
            one["type"] = "DELETE";
        list.push_back(std::move(one));
    }
    return { { "result", { { "header", headerJson(revision) }, { "events", std::move(list) } } } };
}

/** @param code Status code of gRPC. @param message Text. @return Error answer. */
Json errorJson(int code, const std::string& message)
{
    return { { "error", message }, { "code", code }, { "message", message } };
}

} // namespace sp::standin
