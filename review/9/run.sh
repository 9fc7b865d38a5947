#!/usr/bin/env bash
# A part of prompts that crashes replicas; all gateways are killed twice. TROUBLE=0 kills none.
# Writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if that is not known.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
[ -x target/release/rhubarbrockd ] && [ -x target/review-2/release/review-case-2 ] || exit 2
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout 118 target/review-2/release/review-case-2 deadly "$case_folder" "$scratch"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
