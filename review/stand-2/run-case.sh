# Sourced by each run.sh of the second review: starts the case's program from the root of the repository with the
# folder of the record and a temporary one, and exits with 0 (held), 1 (broken) or 2 (could not run).
run_case() {
    local program=$1 folder code=0 temporary
    folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
    cd "$folder/../.." || exit 2
    if [[ ! -x build/quillgrade || ! -x build/review-2/$program ]]; then
        echo "build the router as the deploy file says, and run review/build-2.sh" >&2
        exit 2
    fi
    temporary=$(mktemp -d) || exit 2
    timeout --signal=KILL 118 "build/review-2/$program" "$folder" "$temporary" || code=$?
    # What the routers logged stands behind what was sent and answered.
    for log in "$temporary"/*.log; do
        [[ -f $log ]] || continue
        echo "log of $(basename "$log" .log), its last 40 lines:"
        tail -n 40 "$log"
    done >>"$folder/record.txt"
    rm -rf "$temporary"
    case $code in
        0 | 1) exit "$code" ;;
        *) exit 2 ;;
    esac
}
