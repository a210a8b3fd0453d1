# Functions, to be sourced, that start and stop a complete system on loopback addresses. RUN must
# be the folder for logs, data and secrets, and BIN the folder of the programs.
#
# Addresses: control 127.0.1.N, entries 127.0.2.N, fake backend servers 127.0.3.N.

declare -A PIDS=()

CONTROL_PEERS=127.0.1.1:7100,127.0.1.2:7100,127.0.1.3:7100,127.0.1.4:7100
OPERATORS=127.0.1.1:7200,127.0.1.2:7200,127.0.1.3:7200,127.0.1.4:7200
ENTRY_COUNT=${ENTRY_COUNT:-4}
CONTROL_COUNT=${CONTROL_COUNT:-4}
DOMAINS=(${DOMAINS:-taichung-a taichung-b taichung-c})
FAKE_FLAGS=(${FAKE_FLAGS:-})

cluster_init() {
    mkdir -p "$RUN/logs" "$RUN/data"
    printf 'cluster-secret-of-this-run\n' >"$RUN/secret"
    printf 'operator-token-of-this-run\n' >"$RUN/token"
    export KINGCUP_SECRET_FILE=$RUN/secret KINGCUP_TOKEN_FILE=$RUN/token
    export KINGCUP_OPERATOR=$OPERATORS KINGCUP_ENTRY=127.0.2.1:7000
    ENTRY_BACKENDS=$(for i in $(seq "$ENTRY_COUNT"); do printf '127.0.2.%s:7500,' "$i"; done)
    ENTRY_BACKENDS=${ENTRY_BACKENDS%,}
    LEDGERS=()
}

# start NAME COMMAND...: starts a process in the background, with $RUN/logs/NAME.log as its log
start() {
    local name=$1
    shift
    "$@" >>"$RUN/logs/$name.log" 2>&1 &
    PIDS[$name]=$!
}

start_control() {
    start "control-$1" "$BIN/kingcup-control" --name "control-$1" --data "$RUN/data/control-$1" \
        --peers "$CONTROL_PEERS" --peer-listen "127.0.1.$1:7100" \
        --operator-listen "127.0.1.$1:7200" --admin-listen "127.0.1.$1:7300" ${CONTROL_FLAGS:-}
}

start_entry() {
    start "entry-$1" "$BIN/kingcup-entry" --name "entry-$1" --control "$CONTROL_PEERS" \
        --listen "127.0.2.$1:7000" --backend-listen "127.0.2.$1:7500" \
        --admin-listen "127.0.2.$1:7400" ${ENTRY_FLAGS:-}
}

# start_fake NUMBER DOMAIN FABRIC FLAG...: starts a fake backend server; the flags say what it
# offers
start_fake() {
    local number=$1 domain=$2 fabric=$3
    shift 3
    LEDGERS+=("127.0.3.$number:8001")
    start "fake-$number" "$BIN/kingcup-fake" --name "host-$number" \
        --listen "127.0.3.$number:8000" --admin-listen "127.0.3.$number:8001" \
        --entries "$ENTRY_BACKENDS" --failure-domain "$domain" --fabric-domain "$fabric" \
        "$@" "${FAKE_FLAGS[@]}"
}

# start_fakes PER_FABRIC: starts PER_FABRIC engine hosts in each of two fabric domains of each
# failure domain, and one replica of the ledger in each failure domain
start_fakes() {
    local number=1 domain fabric
    for domain in "${DOMAINS[@]}"; do
        for fabric in 1 2; do
            for _ in $(seq "$1"); do
                start_fake "$number" "$domain" "$domain-$fabric" --accelerators 4
                number=$((number + 1))
            done
        done
        start_fake "$number" "$domain" "$domain-services" --service ledger
        number=$((number + 1))
    done
}

ledgers() {
    local IFS=,
    printf '%s' "${LEDGERS[*]}"
}

# check_alive: fails if a process has exited, and prints the last lines of its log
check_alive() {
    local name
    for name in "${!PIDS[@]}"; do
        if ! kill -0 "${PIDS[$name]}" 2>/dev/null; then
            printf 'process %s exited; last lines of its log:\n' "$name" >&2
            tail -n 12 "$RUN/logs/$name.log" >&2
            return 1
        fi
    done
}

status_json() {
    "$BIN/kingcup" status --json 2>/dev/null
}

# wait_for SECONDS WHAT COMMAND...: polls until the command succeeds; fails after SECONDS, or as
# soon as a process exits
wait_for() {
    local seconds=$1 what=$2 end
    shift 2
    end=$((SECONDS + seconds))
    until "$@"; do
        check_alive || return 1
        if ((SECONDS >= end)); then
            printf 'timed out after %s s waiting for %s\n' "$seconds" "$what" >&2
            return 1
        fi
        sleep 0.2
    done
}

has_leader() { status_json | grep -q '"leader"'; }
all_groups_serving() { status_json | grep -q '"short_models":\[\]'; }
hosts_live() { status_json | grep -q "\"hosts_live\":$1[,}]"; }

stop_process() {
    local pid=${PIDS[$1]:-}
    [ -n "$pid" ] || return 0
    unset "PIDS[$1]"
    # A process stopped by SIGSTOP acts on SIGTERM only after SIGCONT.
    kill -CONT "$pid" 2>/dev/null
    kill -TERM "$pid" 2>/dev/null
}

stop_all() {
    local pids=("${PIDS[@]}") pid
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -TERM "$pid" 2>/dev/null; done
    for _ in $(seq 40); do
        local running=0
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && running=1; done
        ((running)) || break
        sleep 0.1
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    PIDS=()
}
