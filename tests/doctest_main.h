/** @file doctest_main.h Each test file is a program of its own. */
#pragma once

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
