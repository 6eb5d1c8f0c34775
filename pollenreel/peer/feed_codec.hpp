// Converts the messages that distribute the configuration to and from protobuf.
#pragma once

#include "pollenreel/feed/messages.hpp"
#include "proto/peer.pb.h"

#include <optional>

namespace pollenreel::peer {

void to_proto(wire::ConfigurationPush& to, const feed::push& from);
void to_proto(wire::ConfigurationPull& to, const feed::pull& from);
void to_proto(wire::ConfigurationDigest& to, const feed::digest& from);

// These return nullopt if an address is invalid.
[[nodiscard]] std::optional<feed::push>
from_proto(const wire::ConfigurationPush& from);
[[nodiscard]] std::optional<feed::pull>
from_proto(const wire::ConfigurationPull& from);
[[nodiscard]] std::optional<feed::digest>
from_proto(const wire::ConfigurationDigest& from);

} // namespace pollenreel::peer
