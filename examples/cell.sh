# Functions that start a cell on loopback: stand-in, schedulers and gateways. To be sourced by scripts.
# Every process started is ended by its pid in stop_cell.

bin=${SP_BIN:-build}
declare -A pids=()
declare -a hosts=()       # "name:data_centre:rtt_ms", set by the script
declare -a gateways=()
declare -A link_of=() admin_of=() listen_of=()

say() { printf '%s\n' "$*"; }

fail() {
    printf 'FAILED: %s\n' "$*" >&2
    exit 1
}

stop_cell() {
    local name
    for name in "${!pids[@]}"; do
        [[ $name == standin ]] || kill -TERM "${pids[$name]}" 2>/dev/null
    done
    for name in "${!pids[@]}"; do
        [[ $name == standin ]] || wait_pid "${pids[$name]}" 8
    done
    [[ -n ${pids[standin]:-} ]] && kill -TERM "${pids[standin]}" 2>/dev/null && wait_pid "${pids[standin]}" 3
    pids=()
}

# wait_pid PID SECONDS: waits for the end of a process, then kills it.
wait_pid() {
    local tries=$(($2 * 20))
    while kill -0 "$1" 2>/dev/null; do
        if ((tries-- == 0)); then
            say "process $1 did not end within $2 s after SIGTERM; killed" >&2
            kill -KILL "$1" 2>/dev/null
            break
        fi
        sleep 0.05
    done
    wait "$1" 2>/dev/null
}

# free_block COUNT: first port of a block in which nothing listens, below the range of ephemeral ports.
free_block() {
    local base=$((20000 + ($$ * 37) % 12000)) port tries=50
    while ((tries-- > 0)); do
        for ((port = base; port < base + $1; ++port)); do
            if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
                base=$((20000 + (base + 997 - 20000) % 12000))
                continue 2
            fi
        done
        echo "$base"
        return 0
    done
    return 1
}

# wait_line FILE PATTERN SECONDS: prints the first group of the pattern once a line of the file matches.
wait_line() {
    local tries=$(($3 * 20)) found
    while ((tries-- > 0)); do
        found=$(sed -n "s/.*$2.*/\\1/p" "$1" 2>/dev/null | head -n 1)
        [[ -n $found ]] && echo "$found" && return 0
        sleep 0.05
    done
    return 1
}

# wait_http URL SECONDS: waits for status 200.
wait_http() {
    local tries=$(($2 * 20))
    while ((tries-- > 0)); do
        [[ $(curl -s -m 2 -o /dev/null -w '%{http_code}' "$1") == 200 ]] && return 0
        sleep 0.05
    done
    return 1
}

# start_standin SETTINGS OUT
start_standin() {
    "$bin/sp-standin" --config "$1" 2> "$2/standin.log" &
    pids[standin]=$!
    store=$(wait_line "$2/standin.log" 'Store on \([0-9.:]*\)\.' 5) || fail "the stand-in did not start, see $2/standin.log"
    control=$(wait_line "$2/standin.log" 'Control on \([0-9.:]*\)\.' 5) || fail "the stand-in did not start"
}

# write_settings OUT: settings files of all entry hosts.
write_settings() {
    local base entry other name dc rtt i=0
    base=$(free_block $((${#hosts[@]} * 3))) || fail "no free block of ports"
    for entry in "${hosts[@]}"; do
        IFS=: read -r name dc rtt <<< "$entry"
        link_of[$name]=127.0.0.1:$((base + i)) admin_of[$name]=127.0.0.1:$((base + i + 1))
        listen_of[$name]=127.0.0.1:$((base + i + 2))
        gateways+=("${listen_of[$name]}")
        i=$((i + 3))
    done
    for entry in "${hosts[@]}"; do
        IFS=: read -r name dc rtt <<< "$entry"
        {
            printf '[process]\nhost = %s\ndata_centre = %s\nlink = %s\nadmin = %s\ndrain_timeout = 5s\n' \
                "$name" "$dc" "${link_of[$name]}" "${admin_of[$name]}"
            printf '[store]\naddress = %s\n' "$store"
        } > "$1/scheduler-$name.ini"
        printf '[process]\nhost = %s\ndata_centre = %s\nlisten = %s\ndrain_timeout = 5s\n' \
            "$name" "$dc" "${listen_of[$name]}" > "$1/gateway-$name.ini"
        for other in "${hosts[@]}"; do
            local other_name other_dc other_rtt
            IFS=: read -r other_name other_dc other_rtt <<< "$other"
            if [[ $other_name != "$name" ]]; then
                printf '[peer %s]\nlink = %s\ndata_centre = %s\nrtt_ms = %s\n' "$other_name" \
                    "${link_of[$other_name]}" "$other_dc" "$([[ $other_dc == "$dc" ]] && echo 0.2 || echo "$rtt")" \
                    >> "$1/scheduler-$name.ini"
            fi
            if [[ $other_dc == "$dc" ]]; then
                printf '[scheduler %s]\nlink = %s\n' "$other_name" "${link_of[$other_name]}" >> "$1/gateway-$name.ini"
            fi
        done
    done
}

# start_entries OUT: starts the scheduler and the gateway of each entry host.
start_entries() {
    local entry name
    for entry in "${hosts[@]}"; do
        name=${entry%%:*}
        "$bin/sp-scheduler" --config "$1/scheduler-$name.ini" 2> "$1/scheduler-$name.log" &
        pids[scheduler-$name]=$!
        "$bin/sp-gateway" --config "$1/gateway-$name.ini" 2> "$1/gateway-$name.log" &
        pids[gateway-$name]=$!
    done
}

# wait_ready SECONDS: waits until all schedulers and gateways are ready.
wait_ready() {
    local entry name
    for entry in "${hosts[@]}"; do
        name=${entry%%:*}
        wait_http "http://${admin_of[$name]}/readyz" "$1" || fail "scheduler $name is not ready"
        wait_http "http://${listen_of[$name]}/readyz" "$1" || fail "gateway $name is not ready"
    done
}

# wait_owners DATA_CENTRES SECONDS: waits until every shard of the bundle has an owner that is done recovering.
wait_owners() {
    local dc entry found tries=$(($2 * 10))
    for dc in $1; do
        while :; do
            found=0
            for entry in "${hosts[@]}"; do
                [[ $entry == *:$dc:* ]] && found=$((found + $(curl -s -m 2 "http://${admin_of[${entry%%:*}]}/status" \
                    | grep -o '"level":"store"' | wc -l)))
            done
            ((found >= ${shards_per_data_centre:-3})) && break
            ((tries-- > 0)) || fail "data centre $dc has only $found owned shards"
            sleep 0.1
        done
    done
}

# pid_list: name=pid,... of schedulers and gateways, for sp-load.
pid_list() {
    local name list=
    for name in "${!pids[@]}"; do
        [[ $name == standin ]] || list+=${list:+,}$name=${pids[$name]}
    done
    echo "$list"
}

# roll_bundle FILE VERSION PREVIOUS: proposes, approves and rolls a bundle. The first one is rolled without health
# figures, since no process is ready before it.
roll_bundle() {
    local watch=--unwatched admins
    admins=$(IFS=,; echo "${admin_of[*]}")
    (($3 > 0)) && watch=--admin=$admins
    "$bin/spctl" propose "$1" --store "$store" --operator operator-a > /dev/null || fail "bundle $2 was not proposed"
    "$bin/spctl" approve "$2" --store "$store" --operator operator-b > /dev/null || fail "bundle $2 was not approved"
    "$bin/spctl" roll "$2" --store "$store" "$watch" > /dev/null || fail "bundle $2 was not rolled out"
}

# wait_bundle VERSION SECONDS: waits until every scheduler applies the version.
wait_bundle() {
    local entry tries=$(($2 * 50))
    for entry in "${hosts[@]}"; do
        until curl -s -m 2 "http://${admin_of[${entry%%:*}]}/status" | grep -Eq "\"bundle(_version)?\" *: *\"?$1\b"; do
            ((tries-- > 0)) || return 1
            sleep 0.02
        done
    done
}

# figure NAME: value of a line of the summary file.
figure() { sed -n "s/^$1,//p" "$summary"; }
