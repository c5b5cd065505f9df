// Everything an integration test needs: real processes, calls, stand-ins.
#ifndef TEST_HARNESS_H
#define TEST_HARNESS_H

#include "test/cluster.h"  // IWYU pragma: export
#include "test/http.h"     // IWYU pragma: export
#include "test/json.h"     // IWYU pragma: export
#include "test/process.h"  // IWYU pragma: export
#include "test/standins.h" // IWYU pragma: export

#endif
