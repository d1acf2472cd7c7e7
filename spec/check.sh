#!/usr/bin/env bash
# Checks the specifications with spin and prints the number of states and the depth.
#   spec/check.sh            checks every model
#   spec/check.sh --mutants  checks that spin finds an error in each mutated model, and in
#                            each model without one of its assumptions
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

readonly MAX_DEPTH=2000000 # steps
readonly MAX_MEMORY=4000   # MB

# verify DIR MODEL PAN_DEFINES RUN_FLAGS SPIN_DEFINES... prints spin's report.
verify() {
  local dir=$1 model=$2 defines=$3 flags=$4
  shift 4
  mkdir -p "$dir"
  (
    cd "$dir"
    spin "$@" -a "$OLDPWD/$model.pml" >spin.log 2>&1 || { cat spin.log; exit 2; }
    # shellcheck disable=SC2086
    gcc -O2 -w $defines -DMEMLIM=$MAX_MEMORY -o pan pan.c
    # shellcheck disable=SC2086
    ./pan $flags -m$MAX_DEPTH
  )
}

report() { # NAME OUTPUT
  local states depth
  states=$(grep -oE '^ *[0-9.e+]+ states, stored' "$2" | awk '{print $1}')
  depth=$(grep -oE 'depth reached [0-9]+' "$2" | awk '{print $3}')
  printf '%-28s states %-12s depth %s\n' "$1" "$states" "$depth"
}

# holds NAME MODEL PAN_DEFINES RUN_FLAGS SPIN_DEFINES... fails unless spin searched
# the whole state space and found no error.
holds() {
  local name=$1 out="$work/$1.out"
  shift
  verify "$work/$name" "$@" >"$out" 2>&1 || true
  report "$name" "$out"
  if ! grep -q 'errors: 0' "$out" || grep -qE 'max search depth too small|out of memory' "$out"; then
    tail -30 "$out" >&2
    exit 1
  fi
}

# finds MODEL MUTATION PAN_DEFINES RUN_FLAGS fails unless spin finds an error.
finds() {
  local model=$1 mutation=$2 out="$work/$2.out"
  verify "$work/$mutation" "$model" "$3" "$4" "-D$mutation" >"$out" 2>&1 || true
  if ! grep -qE 'errors: [1-9]' "$out"; then
    echo "not found: $mutation in $model" >&2
    tail -20 "$out" >&2
    exit 1
  fi
  printf 'found %-28s in %s\n' "$mutation" "$model"
}

if [ "${1:-}" = --mutants ]; then
  for m in RETRY_AFTER_RESET REVOKE_WITHOUT_RECORD IGNORE_START_BY CHECK_BEFORE_PAUSE \
    DROP_ON_ACK FORGET_MEANS_NEVER ACCEPT_ANY_REFUSAL RESTART_MEANS_NOT_RUN GIVE_UP_SAYS_NOT_RUN; do
    finds dispatch "MUT_$m" "-DSAFETY -DCOLLAPSE" ""
  done
  for m in RELEASE_EARLY RESEND_EARLY NO_LEASE_END ANY_LIFE NO_BAR HOLD_BEFORE_STOP CONSTANT_TOKEN SETTLED_AT_ONCE \
    ESTIMATE_AHEAD ACCEPT_OLD_DISPATCH EXTEND_FOR_OTHERS EXTEND_UNCONFIRMED JOIN_LONGER_LEASE START_FOR_TERM \
    LAPSED_EARLY; do
    finds lease "MUT_$m" "-DSAFETY -DCOLLAPSE" ""
  done
  for m in END_AT_ANNOUNCEMENT TOKEN_FROM_CLOCK; do
    finds restart "MUT_$m" "-DSAFETY -DCOLLAPSE" ""
  done
  for m in LATE_REVOKE ECHO_BEFORE_REVOKE; do
    finds lease "GAP_$m" "-DSAFETY -DCOLLAPSE" ""
  done
  for m in LAPSE RELEASE; do
    finds restart "GAP_$m" "-DSAFETY -DCOLLAPSE" ""
  done
  for m in RESTARTED_ISSUER_RUNS FAILED_KEY_IS_UNUSED FORGET_USED OTHER_ENTRY_RUNS; do
    finds keys "MUT_$m" -DSAFETY ""
  done
  for m in APPLY_OLDER BLIND_WRITE WRITE_AGAIN; do
    finds config "MUT_$m" -DSAFETY "-noclaim"
  done
  exit 0
fi

holds dispatch dispatch "-DSAFETY -DCOLLAPSE" ""
holds dispatch-two-tasks dispatch "-DSAFETY -DCOLLAPSE" "" -DTASKS=2 -DTRIES=1
holds lease lease "-DSAFETY -DCOLLAPSE" ""
holds restart restart "-DSAFETY -DCOLLAPSE" ""
holds keys keys -DSAFETY ""
holds config-safety config -DSAFETY -noclaim
# Liveness needs fairness, which multiplies the states, so this run has only two
# processes and two revisions.
holds config-liveness config "-DNFAIR=8 -DCOLLAPSE" "-a -f -N everywhere" -DPROCESSES=2 -DLAST=2
