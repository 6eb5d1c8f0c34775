#include "pollenreel/quota/messages.hpp"

#include <xxhash.h>

namespace pollenreel::quota {

tenant_hash hash_of(std::string_view tenant_name) {
    return XXH64(tenant_name.data(), tenant_name.size(), 0);
}

} // namespace pollenreel::quota
