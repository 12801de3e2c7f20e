// Provides the load profiles of the known deployments for the fleet model.
#pragma once

#include "fleet_model.h"

namespace tamarack::serving::tests {

fleet_profile vodosletFleet();
fleet_profile vodosletGrownFleet();
fleet_profile vodosletLargeFleet();
fleet_profile ahnenhausFleet();
fleet_profile ahnenhausGrownFleet();
fleet_profile larrainFleet();
fleet_profile larrainGrownFleet();

}
