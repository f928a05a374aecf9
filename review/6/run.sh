#!/bin/bash
# See claim.txt. About 21 s, or 67 s where nothing is killed. TROUBLE=0: the same orders one by one.
source "$(dirname "${BASH_SOURCE[0]}")/../stand-2/run-case.sh"
run_case order_burst
