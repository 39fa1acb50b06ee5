#include "message_codec.h"

#include <cstdlib>

/** A frame that is decoded can be encoded and decoded again. @param data Frame. @param size Its length. @return 0. */
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    const sp::Time now(std::chrono::seconds(1000));
    const auto decoded = sp::decodeFrame({ reinterpret_cast<const char*>(data), size }, now);
    if (!decoded.frame)
        return 0;
    const auto again = sp::decodeFrame(
        sp::encodeFrame(decoded.frame->from, decoded.frame->incarnation, decoded.frame->message, now), now);
    if (!again.frame || again.frame->message.index() != decoded.frame->message.index())
        std::abort();
    return 0;
}
