/* The commands status, top, drain and trace. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ctl/command.h"

#define REDRAW_S 1 /* also the interval at which drain polls */
#define CLEAR_SCREEN "\033[H\033[2J"

/* ---- status ---- */

static void
print_vm(json_t *vm)
{
	const char *id = "", *zone = "", *role = "";
	int connected = 0, leaving = 0, queued = 0, running = 0;
	json_int_t total = 0, used = 0;

	(void)json_unpack(vm, "{s:s,s:s,s:s,s:b,s:b,s:i,s:i,s:I,s:I}", "vm",
	    &id, "zone", &zone, "role", &role, "connected", &connected,
	    "leaving", &leaving, "queued", &queued, "running", &running,
	    "memory_total", &total, "memory_used", &used);
	printf("%-14s %-10s %-8s %-9s %6d %7d %8lld/%lld MiB\n", id, zone, role,
	    leaving	? "leaving"
	    : connected ? "up"
			: "down",
	    queued, running, (long long)(used >> 20), (long long)(total >> 20));
}

static void
print_model(json_t *model)
{
	const char *name = "";
	int decided = 0, loaded = 0, loading = 0;
	json_t *slots = json_object_get(model, "slots"), *slot;
	size_t i;

	(void)json_unpack(model, "{s:s,s:i,s:i,s:i}", "model", &name, "decided",
	    &decided, "loaded", &loaded, "loading", &loading);
	printf("%-24s %7d %6d %7d  ", name, decided, loaded, loading);
	json_array_foreach(slots, i, slot)
	{
		const char *runner = "", *state = "";

		(void)json_unpack(
		    slot, "{s:s,s:s}", "runner", &runner, "state", &state);
		printf("%s:%s ", runner, state);
	}
	printf("\n");
}

static void
print_status(json_t *doc)
{
	const char *vm = "", *reason = "", *holder = "";
	int ready = 0;
	json_int_t config = 0, control = 0;
	json_t *item;
	size_t i;

	(void)json_unpack(doc, "{s:s,s:b,s:s,s:I,s:I,s:s}", "vm", &vm, "ready",
	    &ready, "reason", &reason, "config", &config, "control", &control,
	    "holder", &holder);
	printf("entry %s: %s%s%s; config %lld, control %lld, holder %s\n\n", vm,
	    ready ? "ready" : "not ready", reason[0] ? ": " : "", reason,
	    (long long)config, (long long)control, holder[0] ? holder : "-");
	printf("%-14s %-10s %-8s %-9s %6s %7s %8s\n", "VM", "ZONE", "ROLE",
	    "STATE", "QUEUED", "RUNNING", "MEMORY");
	json_array_foreach(json_object_get(doc, "vms"), i, item) print_vm(item);
	printf("\n%-24s %7s %6s %7s  SLOTS\n", "MODEL", "DECIDED", "LOADED",
	    "LOADING");
	json_array_foreach(json_object_get(doc, "models"), i, item)
	    print_model(item);
}

/* Redraws every REDRAW_S on a terminal until a call fails; else prints once. */
static int
show_page(struct ctl *ctl, const char *path, void (*print)(json_t *))
{
	bool live = !ctl->json && !ctl->once && isatty(STDOUT_FILENO);
	struct api_response response;
	int rc;

	do {
		rc = ctl_call(ctl, "GET", path, NULL, &response);
		if (rc == 0 && !ctl->json) {
			printf("%s", live ? CLEAR_SCREEN : "");
			print(response.doc);
			fflush(stdout);
		}
		api_response_clear(&response);
		if (live)
			sleep(REDRAW_S);
	} while (live && rc == 0);
	return rc;
}

int
cmd_status(struct ctl *ctl)
{
	return show_page(ctl, "/apis/v1/status", print_status);
}

/* ---- top ---- */

static void
print_traffic(const json_t *list, const char *title)
{
	json_t *row;
	size_t i;

	printf("%-24s %9s %9s %10s %10s\n", title, "ANSWERED", "REFUSED",
	    "FIRST p50", "FIRST p99");
	json_array_foreach(list, i, row)
	{
		json_int_t answered = 0, refused = 0;
		double p50 = 0, p99 = 0;

		(void)json_unpack(row, "{s:I,s:I,s:F,s:F}", "answered",
		    &answered, "refused", &refused, "first_token_p50_s", &p50,
		    "first_token_p99_s", &p99);
		printf("%-24s %9lld %9lld %9.3fs %9.3fs\n",
		    member_text(row, "name"), (long long)answered,
		    (long long)refused, p50, p99);
	}
}

static void
print_top(json_t *doc)
{
	printf("entry %s, since its start\n\n", member_text(doc, "vm"));
	print_traffic(json_object_get(doc, "ranks"), "RANK");
	printf("\n");
	print_traffic(json_object_get(doc, "models"), "MODEL");
}

int
cmd_top(struct ctl *ctl)
{
	return show_page(ctl, "/apis/v1/top", print_top);
}

/* ---- drain ---- */

/* Returns requests queued or running at the VM; -1 if it is not connected. */
static int
count_unfinished_requests(const json_t *status, const char *vm)
{
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(status, "vms"), i, row)
	{
		int connected = 0, queued = 0, running = 0;

		(void)json_unpack(row, "{s:b,s:i,s:i}", "connected", &connected,
		    "queued", &queued, "running", &running);
		if (strcmp(member_text(row, "vm"), vm) == 0)
			return connected ? queued + running : -1;
	}
	return -1;
}

static int
wait_for_drain(struct ctl *ctl, const char *vm)
{
	time_t end = time(NULL) + ctl->timeout_s;
	struct api_response response;
	int unfinished = 0, rc = 0;

	while (rc == 0 && time(NULL) < end) {
		api_client_call(
		    ctl->client, "GET", "/apis/v1/status", NULL, &response);
		if (response.code == 200)
			unfinished =
			    count_unfinished_requests(response.doc, vm);
		else
			rc = print_problem(&response);
		api_response_clear(&response);
		if (rc == 0 && unfinished == -1) {
			printf("%s has left\n", vm);
			return 0;
		}
		if (rc == 0)
			fprintf(
			    stderr, "%s: %d requests left\n", vm, unfinished);
		sleep(REDRAW_S);
	}
	if (rc == 0)
		fprintf(stderr, "%s: drain not finished after %lld s\n", vm,
		    ctl->timeout_s);
	return rc == 0 ? EXIT_NO_ANSWER : rc;
}

int
cmd_drain(struct ctl *ctl)
{
	struct api_response response;
	char path[CTL_PATH_MAX];
	int rc;

	if (ctl->arg_count != 1) {
		fprintf(stderr, "drain: VM is required\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/apis/v1/drain/%s", ctl->args[0]);
	rc = ctl_call(ctl, "POST", path, "{}", &response);
	api_response_clear(&response);
	if (rc != 0 || ctl->json)
		return rc;
	return wait_for_drain(ctl, ctl->args[0]);
}

/* ---- trace ---- */

static void
print_trace(const json_t *doc)
{
	json_t *event;
	size_t i;

	json_array_foreach(json_object_get(doc, "events"), i, event)
	{
		json_int_t us =
		    json_integer_value(json_object_get(event, "wall_us"));
		time_t secs = us / 1000000;
		char day[32];

		strftime(day, sizeof(day), "%H:%M:%S", gmtime(&secs));
		printf("%s.%06lld %-14s %s\n", day, (long long)us % 1000000,
		    member_text(event, "vm"), member_text(event, "event"));
	}
}

int
cmd_trace(struct ctl *ctl)
{
	struct api_response response;
	char path[CTL_PATH_MAX];
	int rc;

	if (ctl->arg_count != 1) {
		fprintf(stderr, "trace: ID is required\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/apis/v1/trace/%s", ctl->args[0]);
	rc = ctl_call(ctl, "GET", path, NULL, &response);
	if (rc == 0 && !ctl->json)
		print_trace(response.doc);
	api_response_clear(&response);
	return rc;
}
