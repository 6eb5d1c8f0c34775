// Protobuf form of the messages that share caps and tell of load.
#pragma once

#include "pollenreel/shift/messages.hpp"
#include "proto/peer.pb.h"

#include <optional>

namespace pollenreel::peer {

void fill(wire::ShareAsk& to, const share::request& from);
void fill(wire::ShareGrant& to, const share::grant& from);
void fill(wire::LoadReport& to, const shift::load_report& from);
void fill(wire::LoadSummary& to, const shift::load_summary& from);

// Empty when a resource, an address or a number is impossible.
[[nodiscard]] std::optional<share::request> read(const wire::ShareAsk& from);
[[nodiscard]] std::optional<share::grant> read(const wire::ShareGrant& from);
[[nodiscard]] std::optional<shift::load_report>
read(const wire::LoadReport& from);
[[nodiscard]] std::optional<shift::load_summary>
read(const wire::LoadSummary& from);

} // namespace pollenreel::peer
