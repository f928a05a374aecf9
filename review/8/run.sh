#!/bin/bash
# See claim.txt. About 14 s. TROUBLE=0: the same clients write their large orders at once.
source "$(dirname "${BASH_SOURCE[0]}")/../stand-2/run-case.sh"
run_case slow_uploads
