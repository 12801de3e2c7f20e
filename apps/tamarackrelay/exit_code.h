// Defines the exit codes of the node program.
#pragma once

namespace tamarack {

enum exit_code { exitOk = 0, exitUsage = 2, exitSettingsError = 3, exitStartFailed = 4 };

}
