#!/bin/bash
# Runs a case's driver: play.sh FOLDER DRIVER. Exit code 1: the rule was broken, 0: it held, 2: it couldn't run.
# The driver starts the routers with the line `run` of the deploy file and ends them; they also end with it.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[[ -n $run && -x build/quillgrade && -x build/review/$2 ]] || { echo "build first: deploy file, review/build.sh"; exit 2; }
temporary=$(mktemp -d) || exit 2
trap "[ -n \"\$KEEP\" ] || rm -rf $temporary" EXIT
TMPDIR=$temporary timeout -k 3 115 "build/review/$2" "$folder" "$run"
code=$?
if [[ $code != 0 && $code != 1 ]]; then exit 2; fi
exit $code
