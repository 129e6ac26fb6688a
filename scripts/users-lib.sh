# Starts the deployments of the two users at their present sizes.  Sourced after
# deployment-lib.sh.

user_models() { # markisen|fjellduk
	[ "$1" = markisen ] && echo 40 || echo 25
}

user_store_args() { # USER; prints the limits of the weight store
	[ "$1" = markisen ] && echo "--rate 2 --parallel 4 --adapters 32" ||
		echo "--rate 3 --parallel 4 --adapters 32"
}

user_declarations() { # USER
	local models
	models=$(user_models "$1")
	cat <<-JSON
		{"kind":"rank","name":"urgent","spec":{"order":0,"floor_percent":20,"deadline_ms":8000}}
		{"kind":"rank","name":"standard","spec":{"order":1,"floor_percent":20,"deadline_ms":15000}}
		{"kind":"rank","name":"draft","spec":{"order":2,"floor_percent":10,"deadline_ms":30000}}
		{"kind":"service","name":"booking","spec":{"timeout_ms":5000}}
		{"kind":"deployment","name":"$1","spec":{}}
	JSON
	awk -v n="$models" 'BEGIN { for (i = 0; i < n; i++)
		printf "{\"kind\":\"model\",\"name\":\"model-%d\",\"spec\":{\"memory_mib\":6000,\"max_replicas\":2}}\n", i
	for (i = 0; i < 80; i++)
		printf "{\"kind\":\"adapter\",\"name\":\"adapter-%d\",\"spec\":{\"model\":\"model-%d\",\"memory_mib\":60}}\n", i, i % n }'
}

# Prints the engine's cached models: 2 of 8 on disk, 1 of 8 in memory.
user_caches() { # MODELS RUNNER
	awk -v n="$1" -v r="$2" 'BEGIN { for (i = 0; i < n; i++) {
		tier = (i * 7 + r * 3) % 8
		if (tier < 3) printf "%smodel-%d=%s", sep, i, tier ? "disk" : "memory"
		if (tier < 3) sep = "," } }'
}

# Starts 3 entries, 12 agents of engines and 3 of services in three data
# centres, and applies the declarations.  Sets journals and entry_http.
start_user() { # USER
	local user=$1 models i delay=2
	models=$(user_models "$user")
	[ "$user" = fjellduk ] && delay=1
	journals=() entry_http=()
	# shellcheck disable=SC2046
	start_platform $(user_store_args "$user")
	for ((i = 0; i < 12; i++)); do
		start_engine "engine-$i" --cache "$(user_caches "$models" "$i")"
		journals+=("$engine")
		start_daemon agent "runner-$i" "$(zone_of "$i")" engine \
			"[backend]" "engine = $engine"
	done
	for ((i = 0; i < 3; i++)); do
		next_address && service=$address
		start_process "service-$i" "$standin" service --listen "$service"
		journals+=("$service")
		start_daemon agent "booking-$i" "$(zone_of "$i")" service \
			"[backend]" "service = $service" "service_name = booking"
	done
	for ((i = 0; i < 3; i++)); do
		start_daemon entry "entry-$i" "$(zone_of "$i")" entry
		entry_http+=("${http_of[entry-$i]}")
	done
	publish_vm_list
	user_declarations "$user" >"$dir/$user.json"
	"$bin" ctl -e "${entry_http[0]}" apply -f "$dir/$user.json" >/dev/null
	await 30 models_have_slots "$models"
}

models_have_slots() { # MODELS
	[ "$(curl -s "http://${entry_http[0]}/apis/v1/status" | tr -d ' \n' |
		grep -o '"slots":\[{' | wc -l)" -ge "$1" ]
}

run_bench() { # SCENARIO RESULT [ARGUMENT...]
	local scenario=$1 result=$2 arguments=() address
	shift 2
	for address in "${entry_http[@]}"; do arguments+=(-e "$address"); done
	for address in "${journals[@]}"; do arguments+=(-j "$address"); done
	"$bin" bench run -s "$scenario" -o "$result" "${arguments[@]}" "$@"
}
