/*
 * The path of a request from a caller through an entry and an agent to a
 * backend server and back: a burst at a cold model causes one load and loses no
 * request, and every refusal is a problem document with its outcome.
 */
#include <string.h>

#include <glib.h>

#include "harness.h"

static struct cluster *cluster;

static const char *const urgent_headers[] = { "Rank: urgent",
	"Content-Type: application/json", NULL };

static void
test_cold_burst(void)
{
	struct batch_call calls[12] = { 0 };
	char prompt[64];
	int64_t loads = 0;

	for (int i = 0; i < 12; i++) {
		calls[i].method = "POST";
		calls[i].address = cluster->entries[i % 2].http;
		calls[i].path = (char *)"/v1/completions";
		calls[i].headers = urgent_headers;
		calls[i].body = g_strdup_printf(
		    "{\"model\":\"alpha\",\"prompt\":\"question %d\","
		    "\"max_tokens\":5}",
		    i);
	}
	http_call_batch(calls, 12);
	for (int i = 0; i < 12; i++) {
		json_t *choice = json_array_get(
		    json_object_get(calls[i].response.doc, "choices"), 0);
		char *expected;

		snprintf(prompt, sizeof(prompt), "question %d", i);
		expected = expected_text(prompt, 5);
		if (calls[i].response.code != 200)
			g_test_message("%s", calls[i].response.body);
		g_assert_cmpint(calls[i].response.code, ==, 200);
		g_assert_cmpstr(
		    json_string_value(json_object_get(choice, "text")), ==,
		    expected);
		g_free(expected);
		g_free(calls[i].body);
		response_clear(&calls[i].response);
	}
	for (int i = 0; i < 2; i++) {
		loads += read_journal_int(cluster->engines[i].backend, "loads");
		g_assert_cmpint(read_journal_int(
				    cluster->engines[i].backend, "overcommits"),
		    ==, 0);
	}
	g_assert_cmpint(loads, ==, 1);
}

static void
test_stream(void)
{
	char *expected = expected_text("stream me", 4);
	GString *text = g_string_new(NULL);
	struct response resp;
	char **lines;

	http_call(&resp, "POST", cluster->entries[0].http, "/v1/completions",
	    urgent_headers,
	    "{\"model\":\"alpha-one\",\"prompt\":\"stream me\","
	    "\"max_tokens\":4,\"stream\":true}");
	g_assert_cmpint(resp.code, ==, 200);
	g_assert_true(g_str_has_suffix(resp.body, "data: [DONE]\n\n"));
	lines = g_strsplit(resp.body, "\n", -1);
	for (int i = 0; lines[i] != NULL; i++) {
		json_t *doc;

		if (!g_str_has_prefix(lines[i], "data: {"))
			continue;
		doc = json_loads(lines[i] + 6, 0, NULL);
		g_assert_nonnull(doc);
		g_string_append(text,
		    json_string_value(json_object_get(
			json_array_get(json_object_get(doc, "choices"), 0),
			"text")));
		json_decref(doc);
	}
	g_assert_cmpstr(text->str, ==, expected);
	g_strfreev(lines);
	g_string_free(text, TRUE);
	g_free(expected);
	response_clear(&resp);
}

static void
test_booking(void)
{
	const char *service = cluster->services[0].backend;
	struct response resp;

	http_call(&resp, "POST", cluster->entries[1].http,
	    "/services/booking/appointments", urgent_headers, "{\"day\":1}");
	g_assert_cmpint(resp.code, ==, 200);
	g_assert_cmpint(response_int(&resp, "booked"), ==, 1);
	g_assert_cmpint(read_journal_int(service, "count"), ==, 1);
	response_clear(&resp);
}

struct refusal_case {
	const char *method;
	const char *path;
	const char *body;
	long code;
	const char *result;
};

static void
test_refusals(void)
{
	static const struct refusal_case cases[] = {
		{ "POST", "/v1/completions",
		    "{\"model\":\"none\",\"prompt\":\"x\"}", 404,
		    "UNKNOWN_MODEL" },
		{ "POST", "/v1/completions", "{\"model\":", 400,
		    "BAD_REQUEST" },
		{ "POST", "/v1/completions", "{\"model\":\"alpha\"}", 400,
		    "BAD_REQUEST" },
		{ "GET", "/v1/completions", NULL, 405, "BAD_METHOD" },
		{ "GET", "/nowhere", NULL, 404, "NOT_FOUND" },
		{ "POST", "/services/none/x", "{}", 404, "UNKNOWN_SERVICE" },
		{ "PUT", "/apis/v1/model/bad", "{\"memory_mib\":0}", 422,
		    "INVALID" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct response resp;

		http_call(&resp, cases[i].method, cluster->entries[0].http,
		    cases[i].path, urgent_headers, cases[i].body);
		g_assert_cmpint(resp.code, ==, cases[i].code);
		g_assert_cmpstr(
		    response_text(&resp, "result"), ==, cases[i].result);
		g_assert_cmpstr(response_text(&resp, "outcome"), ==, "not_run");
		response_clear(&resp);
	}
}

static void
test_oversized(void)
{
	char *body = g_strnfill(2 << 20, 'x');
	struct response resp;

	http_call(&resp, "POST", cluster->entries[0].http, "/v1/completions",
	    urgent_headers, body);
	g_assert_cmpint(resp.code, ==, 413);
	g_assert_cmpstr(response_text(&resp, "result"), ==, "TOO_LARGE");
	g_free(body);
	response_clear(&resp);
}

static void
test_graceful_stop(void)
{
	for (int i = 0; i < 2; i++)
		proc_stop(&cluster->entries[i].daemon);
	for (int i = 0; i < 2; i++)
		proc_stop(&cluster->engines[i].daemon);
	proc_stop(&cluster->services[0].daemon);
}

int
main(int argc, char **argv)
{
	struct cluster_options opts = {
		.fencing = true,
		.entry_settings = "[http]\nmax_body = 1048576\n",
	};
	int rc;

	g_test_init(&argc, &argv, NULL);
	cluster = cluster_start(&opts);
	g_test_add_func("/path/cold_burst", test_cold_burst);
	g_test_add_func("/path/stream", test_stream);
	g_test_add_func("/path/booking", test_booking);
	g_test_add_func("/path/refusals", test_refusals);
	g_test_add_func("/path/oversized", test_oversized);
	g_test_add_func("/path/graceful_stop", test_graceful_stop);
	rc = g_test_run();
	cluster_stop(cluster);
	return rc;
}
