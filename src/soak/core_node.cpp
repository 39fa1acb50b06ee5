#include "soak/node.h"

#include <stdexcept>

namespace sp::soak {

/** @param settings Settings. @return Node that runs the whole core. */
std::unique_ptr<Node> makeCoreNode(const NodeSettings& settings)
{
    throw std::logic_error("no core for " + settings.host.value);
}

} // namespace sp::soak
