// Exit codes of the node program.
#pragma once

namespace tamarack {

enum exit_code { exitOk = 0, exitUsage = 2, exitSettings = 3, exitStart = 4 };

}
