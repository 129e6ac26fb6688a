/*
 * Jobs that crash the backend server that begins them, and that callers repeat
 * at both entries: a completion that crashes engines, and a call that crashes a
 * plain service.
 *
 * Guards against backend servers that are ended one after the other, and
 * against sound jobs that are refused beside them.  Bound: three ends, and
 * three more attempts.
 */
#include <string.h>

#include <glib.h>

#include "harness.h"

#define REPEATS 12
#define REPEAT_PAUSE_MS 150
#define CRASHES_MAX (3 + 3)
#define CRASH_FAULT "\"crash_ms\": 100"

static struct cluster *cluster;

static const char *const headers[] = { "Rank: urgent", "Deadline-Ms: 8000",
	"Content-Type: application/json", NULL };

static void
send_job(struct response *resp, int entry, const char *path, const char *body)
{
	http_call(
	    resp, "POST", cluster->entries[entry].http, path, headers, body);
}

static bool
is_answered(int entry, const char *path, const char *body)
{
	struct response resp;
	bool ok;

	send_job(&resp, entry, path, body);
	ok = resp.code == 200;
	if (!ok)
		g_test_message("%ld %s", resp.code, resp.body ? resp.body : "");
	response_clear(&resp);
	return ok;
}

static bool
model_answers(void *ctx)
{
	return is_answered(0, "/v1/completions",
	    "{\"model\":\"alpha\",\"prompt\":\"sound\",\"max_tokens\":4}");
}

/* Repeats the job at both entries; returns how often it was barred. */
static int
repeat_job(const char *path, const char *body)
{
	int barred = 0;

	for (int i = 0; i < REPEATS; i++) {
		struct response resp;

		send_job(&resp, i % 2, path, body);
		g_assert_cmpint(resp.code, !=, 200);
		if (strcmp(response_text(&resp, "result"), "PROMPT_BARRED") ==
		    0) {
			g_assert_cmpint(resp.code, ==, 503);
			g_assert_cmpfloat(resp.retry_after_s, >, 0);
			barred++;
		}
		response_clear(&resp);
		sleep_ms(REPEAT_PAUSE_MS);
	}
	return barred;
}

static int64_t
sum_crashes(const struct member *members, int count)
{
	int64_t sum = 0;

	for (int i = 0; i < count; i++)
		sum += read_journal_int(members[i].backend, "crashes");
	return sum;
}

static void
test_job_crashes_engine_after_engine(void)
{
	int barred;

	await_true(model_answers, NULL, "the model answers");
	for (int i = 0; i < 2; i++)
		set_faults(cluster->engines[i].backend,
		    "{\"crash_prompt\": \"deadly\", " CRASH_FAULT "}");
	barred = repeat_job("/v1/completions",
	    "{\"model\":\"alpha\",\"prompt\":\"deadly\",\"max_tokens\":4}");
	g_assert_cmpint(sum_crashes(cluster->engines, 2), <=, CRASHES_MAX);
	g_assert_cmpint(barred, >, 0);
	await_true(model_answers, NULL, "a sound prompt is answered");
}

#define SOUND_JOBS 90
#define SOUND_GAP_MS 30
#define SOUND_TEXT_SIZE 96

static struct batch_call sound[SOUND_JOBS];
static char sound_bodies[SOUND_JOBS][SOUND_TEXT_SIZE];

static void *
send_sound_jobs(void *unused)
{
	for (int i = 0; i < SOUND_JOBS; i++) {
		g_snprintf(sound_bodies[i], SOUND_TEXT_SIZE,
		    "{\"model\":\"alpha\",\"prompt\":\"sound-%d\","
		    "\"max_tokens\":40}",
		    i);
		sound[i] = (struct batch_call){ .method = "POST",
			.address = cluster->entries[i % 2].http,
			.path = (char *)"/v1/completions",
			.headers = headers,
			.body = sound_bodies[i],
			.start_after_ms = (int64_t)i * SOUND_GAP_MS };
	}
	http_call_batch(sound, SOUND_JOBS);
	return NULL;
}

/* They are sent again beside the deadly job, and lost beside it again. */
static void
test_sound_jobs_are_barred(void)
{
	int64_t before = sum_crashes(cluster->engines, 2);
	GThread *thread;
	int barred = 0;

	await_true(model_answers, NULL, "the model answers");
	for (int i = 0; i < 2; i++)
		set_faults(cluster->engines[i].backend,
		    "{\"crash_prompt\": \"other\", " CRASH_FAULT "}");
	thread = g_thread_new("sound", send_sound_jobs, NULL);
	(void)repeat_job("/v1/completions",
	    "{\"model\":\"alpha\",\"prompt\":\"other\",\"max_tokens\":4}");
	g_thread_join(thread);
	for (int i = 0; i < SOUND_JOBS; i++) {
		barred += strcmp(response_text(&sound[i].response, "result"),
			      "PROMPT_BARRED") == 0;
		response_clear(&sound[i].response);
	}
	g_test_message("%d sound jobs barred", barred);
	g_assert_cmpint(barred, ==, 0);
	g_assert_cmpint(
	    sum_crashes(cluster->engines, 2) - before, <=, CRASHES_MAX);
}

static void
test_call_crashes_service_again_and_again(void)
{
	const struct member *service = &cluster->services[0];
	int64_t before = read_journal_int(service->backend, "count");
	int barred;

	set_faults(
	    service->backend, "{\"crash_path\": \"deadly\", " CRASH_FAULT "}");
	barred = repeat_job("/services/booking/deadly", "{}");
	g_assert_cmpint(sum_crashes(service, 1), <=, CRASHES_MAX);
	g_assert_cmpint(barred, >, 0);
	/* Each attempt that was not barred ran once. */
	g_assert_cmpint(read_journal_int(service->backend, "count") - before,
	    ==, sum_crashes(service, 1));
	g_assert_true(is_answered(0, "/services/booking/sound", "{}"));
	g_assert_true(is_answered(1, "/services/booking/sound", "{}"));
}

int
main(int argc, char **argv)
{
	struct cluster_options opts = { 0 };
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/job_crashes/job_crashes_engine_after_engine",
	    test_job_crashes_engine_after_engine);
	g_test_add_func(
	    "/job_crashes/sound_jobs_are_barred", test_sound_jobs_are_barred);
	g_test_add_func("/job_crashes/call_crashes_service_again_and_again",
	    test_call_crashes_service_again_and_again);
	rc = g_test_run();
	cluster_stop(cluster);
	return rc;
}
