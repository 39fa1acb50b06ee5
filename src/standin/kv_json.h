/** @file kv_json.h JSON form of the store's interface: 64 bit numbers as strings, keys and values in base64. */
#pragma once

#include "standin/kv_store.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace sp::standin {

using Json = nlohmann::json;

std::string encodeBase64(std::string_view bytes);
std::optional<std::string> decodeBase64(std::string_view text);

std::int64_t jsonNumber(const Json& object, const char* name);
std::string jsonBytes(const Json& object, const char* name);

KvRange parseRange(const Json& object);
KvTxn parseTxn(const Json& object);
std::size_t largestValue(const KvTxn& txn);

Json headerJson(std::int64_t revision);
Json entryJson(const KvEntry& entry);
Json rangeJson(const KvRangeResult& result, std::int64_t revision);
Json txnJson(const KvTxnResult& result, std::int64_t revision);
Json eventsJson(const std::vector<KvEvent>& events, std::int64_t revision);
Json errorJson(int code, const std::string& message);

} // namespace sp::standin
