# Functions for scripts that start the processes of a site. Each process runs in the
# background with its log and its pid in $dir; stop_all ends only these processes.
# Usage: dir=FOLDER; . hack/procs.sh; trap stop_all EXIT

mkdir -p "$dir/logs" "$dir/pids"
started=()

# start NAME BINARY ARG… starts a process and writes its pid to $dir/pids/NAME. If OLD_BIN
# names a folder with the binaries of another build, a process listed in OLD runs from there
# at its first start and from bin/ afterwards; a process that is not listed runs from bin/
# at its first start and from OLD_BIN afterwards.
start() {
  local name=$1 use_old=
  shift
  if [ -n "${OLD_BIN:-}" ]; then
    case " ${OLD:-} " in *" $name "*) use_old=1 ;; esac
    [ -e "$dir/pids/$name" ] && { [ -n "$use_old" ] && use_old= || use_old=1; }
    [ -z "$use_old" ] || set -- "$OLD_BIN/${1#bin/}" "${@:2}"
    echo "$name $1" >>"$dir/builds.txt"
  fi
  "$@" >"$dir/logs/$name.log" 2>&1 </dev/null &
  started+=("$!")
  echo "$!" >"$dir/pids/$name"
}

# start_plan FILE starts the process of each line "NAME<TAB>BINARY<TAB>ARG…" of a plan.
start_plan() {
  local -a fields
  while IFS=$'\t' read -r -a fields; do
    start "${fields[@]}"
  done <"$1"
}

# pid_of NAME prints the pid of the process's latest start.
pid_of() { cat "$dir/pids/$1"; }

# stop_all ends all processes that start has started, by pid. It uses SIGKILL because
# that also ends suspended (SIGSTOP) processes.
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
