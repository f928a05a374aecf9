#!/bin/bash
# See claim.txt. About 22 s. TROUBLE=0: discovery answers at once.
source "$(dirname "${BASH_SOURCE[0]}")/../stand-2/run-case.sh"
run_case slow_discovery
