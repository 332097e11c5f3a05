#!/usr/bin/env bash
# Starts four fulmargw hosts on loopback with stand-ins for the platform and one database group,
# and checks the main guarantees with an ordinary PostgreSQL client.
# The last line is "demo: ok" if every check passed. FULMARGW_DEMO_PORT sets the first port.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly FIRST_PORT=${FULMARGW_DEMO_PORT:-17400}
readonly HOSTS=(a b c d)
readonly SERVERS=(x y z)
readonly START_TIMEOUT_S=20
readonly STOP_TIMEOUT_S=15

folder=$(mktemp -d)
stand_ins=()
hosts=()

# Kills the processes that are still running, by process id, and keeps the logs after a failure.
cleanup() {
    local status=$?
    local pid
    for pid in "${hosts[@]}" "${stand_ins[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ "$status" -eq 0 ]; then
        rm -r "$folder"
    else
        echo "demo: failed, logs are in $folder" >&2
    fi
}
trap cleanup EXIT

step() {
    echo "demo: $*"
}

fail() {
    echo "demo: check failed: $*" >&2
    exit 1
}

# Fails unless the text $1 contains $2.
expect() {
    case $1 in
    *"$2"*) ;;
    *) fail "expected '$2' in: $1" ;;
    esac
}

# Runs a command that must exit with code $1, and stores its output in $output.
expect_exit() {
    local expected=$1
    local code=0
    shift
    output=$("$@" 2>&1) || code=$?
    [ "$code" -eq "$expected" ] || fail "exit $code instead of $expected from '$*': $output"
}

# Repeats a check every 100 ms until it passes, for at most START_TIMEOUT_S.
await() {
    local end=$((SECONDS + START_TIMEOUT_S))
    until "$@" 2>/dev/null; do
        [ "$SECONDS" -lt "$end" ] || fail "did not pass within $START_TIMEOUT_S s: $*"
        sleep 0.1
    done
}

listens() {
    (exec 3<>"/dev/tcp/127.0.0.1/$1")
}

# Reports whether the health check on port $1 responds with status $2.
has_health() {
    local line
    exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
    printf 'GET /health HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n' >&3
    read -r -t 2 line <&3 || line=
    exec 3>&-
    [[ $line == *" $2 "* ]]
}

# Ten ports per backend server start at FIRST_PORT + 10, ten per host at FIRST_PORT + 50.
readonly PLATFORM_PORT=$FIRST_PORT
readonly PLATFORM_ADMIN_PORT=$((FIRST_PORT + 1))
server_port() { echo $((FIRST_PORT + 10 + 10 * $1 + $2)); }
host_port() { echo $((FIRST_PORT + 50 + 10 * $1 + $2)); }

start_platform() {
    "$lab" platform --listen "127.0.0.1:$PLATFORM_PORT" \
        --admin "127.0.0.1:$PLATFORM_ADMIN_PORT" >"$folder/platform.log" 2>&1 &
    stand_ins+=($!)
    disown $! # Otherwise the shell reports that the process was killed.
}

start_server() {
    local own=$1
    local options=(--name "${SERVERS[own]}" --strict --initial)
    local other
    for other in "${!SERVERS[@]}"; do
        [ "$other" -eq "$own" ] ||
            options+=(--peer "${SERVERS[other]}=127.0.0.1:$(server_port "$other" 1)")
    done
    [ "$own" -ne 0 ] || options+=(--initial-primary)
    "$lab" database "${options[@]}" --listen "127.0.0.1:$(server_port "$own" 0)" \
        --replication-listen "127.0.0.1:$(server_port "$own" 1)" \
        --admin "127.0.0.1:$(server_port "$own" 2)" \
        >"$folder/server-${SERVERS[own]}.log" 2>&1 &
    stand_ins+=($!)
    disown $! # Otherwise the shell reports that the process was killed.
}

write_settings() {
    local own=$1
    cat >"$folder/host-${HOSTS[own]}.toml" <<EOF
[host]
name = "host-${HOSTS[own]}"
zone = "zone-$((own % 3 + 1))"
peer_address = "127.0.0.1:$(host_port "$own" 0)"
document_address = "127.0.0.1:$(host_port "$own" 1)"
stop_notice_ms = 200

[frontend]
address = "127.0.0.1:$(host_port "$own" 2)"

[operator]
address = "127.0.0.1:$(host_port "$own" 3)"
credential_digest = "$credential_digest"

[platform]
addresses = ["127.0.0.1:$PLATFORM_PORT"]

[log]
format = "json"
EOF
}

start_host() {
    local name=${HOSTS[$1]}
    "$fulmargw" serve --settings "$folder/host-$name.toml" 2>"$folder/host-$name.log" &
    hosts+=($!)
}

write_patch() {
    {
        echo 'base = 0'
        echo 'id = "demo-first"'
        echo '[[changes]]'
        echo '[changes.put_service]'
        echo 'name = "notes"'
        local own
        for own in "${!SERVERS[@]}"; do
            echo '[[changes.put_service.servers]]'
            echo "name = \"${SERVERS[own]}\""
            echo "zone = \"zone-$((own + 1))\""
            echo "address = \"127.0.0.1:$(server_port "$own" 0)\""
            echo 'slots = 2'
            echo 'connections = 16'
        done
        cat <<EOF
[[changes]]
put_account = { name = "tools", rate = 200.0, burst = 100.0, keys = ["$account_digest"] }
[[changes]]
put_account = { name = "public", rate = 20.0, burst = 20.0 }
[[changes]]
[changes.put_route]
name = "notes-write"
service = "notes"
class = "write"
repeat = "once"
access = { accounts = ["tools"] }
[[changes]]
[changes.put_route]
name = "notes-read"
service = "notes"
class = { aged = { secs = 2, nanos = 0 } }
repeat = "idempotent"
access = { accounts = ["tools"] }
[[changes]]
[changes.put_route]
name = "notes-public"
service = "notes"
class = "current"
repeat = "idempotent"
access = { open = "public" }
EOF
    } >"$folder/first.toml"
}

# Prints the string value of key $2 in $1, a JSON object on one line.
json_text() {
    sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" <<<"$1"
}

operator_options() {
    echo --operator "http://127.0.0.1:$(host_port "$1" 3)" --credential-file "$folder/credential"
}

query() {
    local host=$1
    shift
    "$query" --address "127.0.0.1:$(host_port "$host" 2)" "$@"
}

step "building"
cargo build --quiet --locked -p fulmargw -p fulmargw_lab --bins --example query
target=$(cargo metadata --format-version 1 --no-deps --offline |
    sed 's/.*"target_directory":"\([^"]*\)".*/\1/')
readonly fulmargw=$target/debug/fulmargw
readonly lab=$target/debug/fulmargw_lab
readonly query=$target/debug/examples/query

step "1. generating an operator credential and a key of a client account"
pair=$("$fulmargw" key --json)
json_text "$pair" key >"$folder/credential"
credential_digest=$(json_text "$pair" digest)
pair=$("$fulmargw" key --json)
json_text "$pair" key >"$folder/key"
account_digest=$(json_text "$pair" digest)
[ "${#account_digest}" -eq 64 ] || fail "the digest does not have 64 digits: $account_digest"
echo "not-the-key" >"$folder/wrong-key"

step "2. starting the platform and three backend servers (stand-ins)"
start_platform
for own in "${!SERVERS[@]}"; do start_server "$own"; done
await listens "$PLATFORM_PORT"
for own in "${!SERVERS[@]}"; do await listens "$(server_port "$own" 0)"; done

step "3. starting four hosts"
for own in "${!HOSTS[@]}"; do
    write_settings "$own"
    expect_exit 0 "$fulmargw" check --settings "$folder/host-${HOSTS[own]}.toml"
    start_host "$own"
done
for own in "${!HOSTS[@]}"; do await has_health "$(host_port "$own" 3)" 200; done

step "4. submitting the first configuration as a patch to host-a"
write_patch
# shellcheck disable=SC2046 # The options are separate words.
expect_exit 0 "$fulmargw" patch --json $(operator_options 0) "$folder/first.toml"
expect "$output" '"version":1'
for own in "${!HOSTS[@]}"; do expect "$output" "\"host-${HOSTS[own]}\""; done

step "5. writing through host-b and reading the write through host-c"
write_statement="INSERT INTO kv VALUES ('greeting', 'good morning')"
read_statement="SELECT value FROM kv WHERE key = 'greeting'"
as_tools=(--account tools --key-file "$folder/key")
expect_exit 0 query 1 --route notes-write "${as_tools[@]}" "$write_statement"
position=$(sed -n 's/^position //p' <<<"$output")
expect "$position" "notes/"
expect_exit 0 query 2 --route notes-read "${as_tools[@]}" --position "$position" "$read_statement"
expect "$output" "row good morning"

step "6. checking that a wrong key is refused"
expect_exit 1 query 3 --route notes-write --account tools --key-file "$folder/wrong-key" \
    "$write_statement"
expect "$output" "refused 28P01"

step "7. checking that an open route needs no key"
expect_exit 0 query 3 --route notes-public --account anybody "$read_statement"
expect "$output" "row good morning"

step "8. checking that a stale patch is refused"
sed 's/demo-first/demo-second/' "$folder/first.toml" >"$folder/stale.toml"
# shellcheck disable=SC2046 # The options are separate words.
expect_exit 3 "$fulmargw" patch --json $(operator_options 3) "$folder/stale.toml"
expect "$output" '"current":1'

step "9. checking that state, configuration and logs contain no key"
# shellcheck disable=SC2046 # The options are separate words.
expect_exit 0 "$fulmargw" state --json $(operator_options 3)
expect "$output" '"host-d"'
state=$output
# shellcheck disable=SC2046 # The options are separate words.
expect_exit 0 "$fulmargw" config --json $(operator_options 3)
expect "$output" "${account_digest:0:8}.."
for text in "$state" "$output" "$(cat "$folder"/host-*.log)"; do
    case $text in
    *"$(cat "$folder/key")"* | *"$account_digest"*) fail "a key or a complete digest is printed" ;;
    esac
done

step "10. killing the primary; writes continue and no acknowledged write is lost"
kill -KILL "${stand_ins[1]}"
second_write() {
    output=$(query 0 --route notes-write "${as_tools[@]}" \
        "INSERT INTO kv VALUES ('farewell', 'good night')" 2>&1)
}
await second_write
expect "$output" "position notes/2/"
expect_exit 0 query 3 --route notes-public --account anybody "$read_statement"
expect "$output" "row good morning"

step "11. withdrawing a key; other hosts refuse it"
cat >"$folder/withdraw.toml" <<EOF
base = 1
changes = [{ withdraw_key = { account = "tools", digest = "$account_digest" } }]
EOF
# shellcheck disable=SC2046 # The options are separate words.
expect_exit 0 "$fulmargw" patch --json $(operator_options 2) "$folder/withdraw.toml"
expect "$output" '"version":2'
expect_exit 1 query 1 --route notes-write "${as_tools[@]}" "$write_statement"
expect "$output" "refused 28P01"

step "12. stopping gracefully"
for pid in "${hosts[@]}"; do kill -TERM "$pid"; done
for own in "${!hosts[@]}"; do
    tries=$((STOP_TIMEOUT_S * 10))
    while kill -0 "${hosts[own]}" 2>/dev/null && [ "$tries" -gt 0 ]; do
        tries=$((tries - 1))
        sleep 0.1
    done
    [ "$tries" -gt 0 ] || fail "host-${HOSTS[own]} is still running after $STOP_TIMEOUT_S s"
    code=0
    wait "${hosts[own]}" || code=$?
    [ "$code" -eq 0 ] || fail "host-${HOSTS[own]} exited with $code"
done
hosts=()

echo "demo: ok"
