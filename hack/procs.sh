# Functions for scripts that start processes of a site: each is started in the
# background with its log and its pid in $dir, and only these are ended.
# Usage: dir=FOLDER; . hack/procs.sh; trap stop_all EXIT

mkdir -p "$dir/logs" "$dir/pids"
started=()

# start NAME BINARY ARG… runs a process and writes down its pid. With OLD_BIN set to a
# folder of binaries of another build, a process named in OLD runs from there at its first
# start and from bin/ afterwards; the other processes run from there from their second start.
start() {
  local name=$1 old=
  shift
  if [ -n "${OLD_BIN:-}" ]; then
    case " ${OLD:-} " in *" $name "*) old=1 ;; esac
    [ -e "$dir/pids/$name" ] && { [ -n "$old" ] && old= || old=1; }
    [ -z "$old" ] || set -- "$OLD_BIN/${1#bin/}" "${@:2}"
    echo "$name $1" >>"$dir/builds.txt"
  fi
  "$@" >"$dir/logs/$name.log" 2>&1 </dev/null &
  started+=("$!")
  echo "$!" >"$dir/pids/$name"
}

# start_plan FILE starts each line "NAME<TAB>BINARY<TAB>ARG…" of a plan.
start_plan() {
  local -a fields
  while IFS=$'\t' read -r -a fields; do
    start "${fields[@]}"
  done <"$1"
}

pid_of() { cat "$dir/pids/$1"; }

# stop_all ends what was started here, by pid. SIGKILL reaches stopped
# processes too.
stop_all() {
  local pid
  {
    for pid in "${started[@]}"; do
      kill -KILL "$pid"
    done
    wait
  } 2>/dev/null
  started=()
}
