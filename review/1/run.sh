#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 runs it with
# servers that answer properly.
cd "$(dirname "$0")/../.." || exit 2
for program in review/release/endless_answer review/release/endless_order release/platform-control; do
    [ -x "target/$program" ] || { echo "run the build of the deploy file and review/build.sh first" >&2; exit 2; }
done
timeout 60 target/review/release/endless_answer review/1
answer=$?
mv review/1/record.txt review/1/record-entries.txt
timeout 55 target/review/release/endless_order review/1
order=$?
{ echo "Part 1: requests"; cat review/1/record-entries.txt; echo "Part 2: orders"; cat review/1/record.txt; } > review/1/record.new
mv review/1/record.new review/1/record.txt
rm review/1/record-entries.txt
for code in $answer $order; do
    [ "$code" -le 1 ] || exit 2
done
[ "$answer" -eq 1 ] || [ "$order" -eq 1 ]
exit $((1 - $?))
