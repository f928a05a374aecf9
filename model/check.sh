#!/bin/sh
# Checks model/membership.pml with Spin: the sound model must have no error, each planted bug must be found.
#   model/check.sh FAULTS WORKDIR
# Prints a line a check, and as the last line one JSON object. Exit code 0 where all is as it must be.
set -u
here=$(cd "$(dirname "$0")" && pwd)
faults=${1:-2}
work=${2:-$(mktemp -d)}
mkdir -p "$work" && cd "$work" || exit 2
command -v spin >/dev/null || { echo "spin is not installed"; exit 2; }

# check BUG PROPERTY FLAGS: prints the number of errors, and adds to the states.
states=0
check() {
    spin -a -DBUG="$1" -DFAULTS="$3" "$here/membership.pml" >spin.log 2>&1 || { cat spin.log; exit 2; }
    if [ "$2" = safety ]; then
        cc -O1 -w -DSAFETY -DNOCLAIM -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c || exit 2
        timeout 60 ./pan -m1000000 -w24 >pan.log 2>&1
    else
        cc -O1 -w -DCOLLAPSE -DNFAIR=3 -DVECTORSZ=2048 -o pan pan.c || exit 2
        timeout 60 ./pan -a -f -N "$2" -m1000000 -w24 >pan.log 2>&1
    fi
    grep -q "errors:" pan.log || { cat pan.log; exit 2; }
    if grep -q "max search depth too small" pan.log; then echo "the depth was too small"; exit 2; fi
    found=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
    seen=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log | awk '{printf "%d", $1}')
    states=$((states + seen))
    printf '%-52s %10d states, %s errors\n' "bug $1, $2, $3 faults" "$seen" "$found"
}

bad=0 planted=0 planted_found=0
for property in safety heals; do
    check 0 "$property" "$faults"
    [ "$found" = 0 ] || bad=1
done
# What each bug breaks: 1 no new incarnation, 2 an order that takes verdicts back, 3 an end without a word of its own that is forgotten,
# 4 death that is not answered, 5 a pause unnoticed, 6 the dead not probed, 7 no helpers asked.
for planted_bug in 1:heals 2:safety 3:safety 4:heals 5:safety 6:heals 7:safety; do
    check "${planted_bug%%:*}" "${planted_bug##*:}" "$faults"
    planted=$((planted + 1))
    if [ "$found" = 0 ]; then bad=1; else planted_found=$((planted_found + 1)); fi
done
echo "{\"explored_states\": $states, \"planted\": $planted, \"planted_found\": $planted_found, \"violated\": $bad}"
exit $bad
