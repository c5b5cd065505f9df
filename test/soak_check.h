// Holds what callers saw against the stand-ins' records, promise by promise.
#ifndef TEST_SOAK_CHECK_H
#define TEST_SOAK_CHECK_H

#include "test/soak_config.h"
#include "test/soak_faults.h"

namespace cg {

std::vector<SoakPromise> CheckSoak(SoakLedger &ledger,
                                   const SoakFaults &faults,
                                   const SoakConfig &config);
// Prints a line for each promise; how many were broken or not tried.
int ReportSoak(const std::vector<SoakPromise> &promises);

} // namespace cg

#endif
