// The main function of every test program.
#define CATCH_CONFIG_RUNNER
#include <QCoreApplication>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>

int main(int argc, char** argv)
{
    // The same cases in every run: a property that fails once fails always.
    setenv("RC_PARAMS", "seed=20261202 max_success=200", 0);
    std::signal(SIGPIPE, SIG_IGN);
    int qtArguments = 1;
    QCoreApplication application(qtArguments, argv);
    return Catch::Session().run(argc, argv);
}
