#include "bundle.h"

#include <cstdlib>

/** Any text gives either a bundle or problems. @param data Text. @param size Its length. @return 0. */
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    const sp::BundleParse parsed = sp::parseBundle(std::string(reinterpret_cast<const char*>(data), size));
    if (parsed.bundle.has_value() != parsed.problems.empty())
        std::abort();
    if (parsed.bundle && !sp::checkSuccession(*parsed.bundle, *parsed.bundle).empty()
        && parsed.bundle->cell.dataCentres.empty())
        std::abort();
    return 0;
}
