// Draws random fleets from the ranges of the known deployments, so that no decision is fitted to those few.
#pragma once

#include "fleet_profile.h"

#include <cstdint>

namespace tamarack::serving::tests {

/// Returns the same fleet for the same seed. The load is between a third of the capacity and half above it; the mix of
/// requests swings, engines are lost, slow or failing, and nodes restart.
fleet_profile randomFleet(std::uint64_t seed, duration length);

}
