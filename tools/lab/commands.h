// The experiments of tamarack_lab.
#pragma once

#include "caller_mix.h"
#include "harness/deployment_run.h"

#include <boost/program_options.hpp>

namespace tamarack::lab {

using arguments = boost::program_options::variables_map;

int runDemo(const arguments&);
int runOverhead(const arguments&);
int runFaults(const arguments&);
int runScale(const arguments&);

/// The mix of a sample text, by its name: "vodoslet" or "ahnenhaus".
mix_settings mixFor(const std::string& deployment, const arguments& given);

}
