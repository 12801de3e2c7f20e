// Declares the experiments of tamarack_lab and the request mix that they share.
#pragma once

#include "caller_mix.h"
#include "harness/deployment_run.h"

#include <boost/program_options.hpp>

namespace tamarack::lab {

using arguments = boost::program_options::variables_map;

/// Each experiment returns the exit code of the process.
int runDemo(const arguments&);
int runOverhead(const arguments&);
int runFaults(const arguments&);
int runScale(const arguments&);

/// Returns the request mix of a sample deployment, "vodoslet" or "ahnenhaus".
mix_settings mixFor(const std::string& deployment, const arguments& given);

}
