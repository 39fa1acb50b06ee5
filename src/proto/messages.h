/** @file messages.h The generated messages without the warnings of the generated code. */
#pragma once

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#include "proto/messages.pb.h"
#pragma GCC diagnostic pop
