#include "base64_func.h"
#include "etcd_codec.h"

#include <array>
#include <cstdlib>

/**
 * Any answer of the store is safe, and a successful status needs HTTP status 200.
 * @param data First byte: kind of call and HTTP status; the rest is the body.
 * @param size Length.
 * @return 0.
 */
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    if (size == 0)
        return 0;
    static const std::array<sp::StoreRequest, 5> requests { sp::StoreTxn {}, sp::StoreRange {}, sp::StoreLeaseGrant {},
        sp::StoreLeaseKeepAlive { sp::StoreLeaseId(7) }, sp::StoreLeaseRevoke { sp::StoreLeaseId(7) } };
    static constexpr std::array<long, 4> statuses { 200, 400, 429, 503 };
    sp::HttpResult result;
    result.sent = true;
    result.complete = true;
    result.status = statuses[(data[0] >> 4U) % statuses.size()];
    result.body.assign(reinterpret_cast<const char*>(data) + 1, size - 1);
    const sp::StoreReply reply = sp::parseEtcdAnswer(requests[(data[0] & 15U) % requests.size()], result);
    if (result.status != 200 && (reply.status == sp::StoreStatus::Ok || reply.status == sp::StoreStatus::CompareFailed))
        std::abort();
    sp::parseEtcdWatchLine(result.body);
    if (const auto bytes = sp::base64Decode(result.body); bytes && sp::base64Decode(sp::base64Encode(*bytes)) != bytes)
        std::abort();
    return 0;
}
