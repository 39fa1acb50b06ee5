/** @file etcd_codec.h Requests and answers of the store in the JSON form of etcd's v3 interface. Any bytes are safe. */
#pragma once

#include "http_client.h"
#include "store_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace sp {

/** One message of a watch stream. */
struct EtcdWatchMessage {
    bool created = false; ///< The watch is in place.
    bool canceled = false; ///< The store has ended the watch, for instance since its revision is compacted.
    StoreWatchBatch batch; ///< Without its prefix.
};

const char* etcdPath(const StoreRequest& request);
const char* etcdCallName(const StoreRequest& request);
std::string etcdBody(const StoreRequest& request);
std::string etcdWatchBody(const std::string& prefix, Revision from);
StoreReply parseEtcdAnswer(const StoreRequest& request, const HttpResult& result);
std::optional<EtcdWatchMessage> parseEtcdWatchLine(std::string_view line);
std::string prefixEnd(std::string prefix);

} // namespace sp
