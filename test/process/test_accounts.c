/*
 * Client accounts at gateways and sidecars: whose key may run what, what a
 * backend server learns of it, and quotas over several gateways.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "harness_fleet.h"

#define OPEN_ROUTE                                                             \
	",{\"name\":\"open\",\"host\":\"h.example\",\"path_prefix\":\"/open/"  \
	"\",\"kind\":\"safe\",\"timeout_ms\":5000,\"latency_goal_ms\":200,"    \
	"\"service\":\"app\",\"max_attempts\":2,\"public\":true}"

#define KEY "sesame-a1"
#define OTHER_KEY "sesame-b1"

static const char two_accounts[] =
    "[{\"name\":\"acme\",\"api_keys\":[\"" KEY "\",\"sesame-a2\"]},"
    "{\"name\":\"bolt\",\"api_keys\":[\"" OTHER_KEY "\"]}]";

struct attempt {
	const char *const *headers;
	const char *path;
	int gateway;
	int number; /* of the request */
	long code;
};

static void
send(struct attempt *a)
{
	const char *list[16] = { "Host: h.example",
		"Tamarackmast-Deadline-Ms: 5000" };
	char *id = g_strdup_printf(
	    "Tamarackmast-Request-Id: r%d", ++fleet.request_count);
	struct response resp;
	size_t n = 2;

	a->number = fleet.request_count;
	list[n++] = id;
	for (size_t i = 0; a->headers[i] != NULL; i++)
		list[n++] = a->headers[i];
	http_call(
	    &resp, "GET", fleet.http_address[a->gateway], a->path, list, NULL);
	a->code = resp.code;
	response_clear(&resp);
	g_free(id);
}

static long
code_of(int gateway, const char *path, const char *const *headers)
{
	struct attempt a = { headers, path, gateway, 0, 0 };

	send(&a);
	return a.code;
}

/* The accounts that a backend server was told of the request's run. */
static char *
account_of_run(int number)
{
	char *path = g_strdup_printf("/runs/r%d", number), *account = NULL;

	for (int i = 0; i < FLEET_SERVICES; i++) {
		struct response resp;

		http_call(
		    &resp, "GET", fleet.services[i].address, path, NULL, NULL);
		if (response_int(&resp, "runs") > 0)
			account = g_strdup(response_text(&resp, "account"));
		response_clear(&resp);
	}
	g_free(path);
	return account;
}

static bool
key_works(void *key)
{
	char *header = g_strdup_printf("Authorization: Bearer %s", (char *)key);
	bool works = true;

	for (int i = 0; i < FLEET_GATEWAYS; i++)
		works &= code_of(i, "/look/1",
			     (const char *[]){ header, NULL }) == 200;
	g_free(header);
	return works;
}

static bool
key_is_refused(void *key)
{
	char *header = g_strdup_printf("Authorization: Bearer %s", (char *)key);
	bool refused = true;

	for (int i = 0; i < FLEET_GATEWAYS; i++)
		refused &= code_of(i, "/look/1",
			       (const char *[]){ header, NULL }) == 401;
	g_free(header);
	return refused;
}

/* Sends no key: until accounts are declared, backend servers would get it. */
static bool
needs_key(void *unused)
{
	bool refused = true;

	for (int i = 0; i < FLEET_GATEWAYS; i++)
		refused &=
		    code_of(i, "/look/1", (const char *[]){ NULL }) == 401;
	return refused;
}

static void
start(const char *accounts)
{
	fleet_start();
	fleet.accounts = accounts;
	fleet_configure(OPEN_ROUTE);
	await_true(needs_key, NULL, "accounts in force");
	await_true(key_works, (void *)KEY, "key in force");
}

static void
check_code(const char *header, long expected)
{
	g_assert_cmpint(code_of(0, "/look/1", (const char *[]){ header, NULL }),
	    ==, expected);
}

/* Guards against requests that run without a key of the configuration. */
static void
test_keys(void)
{
	char *large =
	    g_strdup_printf("Authorization: Bearer %s", g_strnfill(60000, 'k'));

	start(two_accounts);
	g_assert_cmpint(
	    code_of(0, "/look/1", (const char *[]){ NULL }), ==, 401);
	check_code("Authorization: Bearer sesame-a2", 200);
	check_code("authorization: bearer " OTHER_KEY, 200);
	check_code("Authorization: Bearer  " KEY "  ", 200);
	check_code("Authorization: Bearer " KEY "x", 401);
	check_code("Authorization: Bearer sesame", 401);
	check_code("Authorization: Bearer", 401);
	check_code("Authorization: Basic " KEY, 401);
	check_code("Authorization: " KEY, 401);
	check_code("Authorization: Bearer \x80\xff\xfe", 401);
	g_assert_cmpint(code_of(0, "/look/1",
			    (const char *[]){ "Authorization: Bearer " KEY,
				"Authorization: Bearer " KEY, NULL }),
	    ==, 401);
	check_code(large, 401);
	g_assert_cmpint(
	    code_of(0, "/nowhere/1", (const char *[]){ NULL }), ==, 404);
	proc_assert_running(&fleet.gateways[0]);
	fleet_stop();
	g_free(large);
}

static void
check_account(const char *path, const char *const *headers, const char *name)
{
	struct attempt a = { headers, path, 1, 0, 0 };
	char *account;

	send(&a);
	g_assert_cmpint(a.code, ==, 200);
	account = account_of_run(a.number);
	g_assert_cmpstr(account, ==, name);
	g_free(account);
}

/*
 * Guards against a key that reaches a backend server, and against an account's
 * name that the client chose.
 */
static void
test_backend_learns_account(void)
{
	const char *key = "Authorization: Bearer " KEY;

	start(two_accounts);
	check_account("/look/1", (const char *[]){ key, NULL }, "acme");
	check_account("/book/1", (const char *[]){ key, NULL }, "acme");
	check_account("/look/1",
	    (const char *[]){ key, "Tamarackmast-Tenant: bolt", NULL }, "acme");
	check_account("/look/1",
	    (const char *[]){ "tamarackmast-tenant: bolt",
		"TAMARACKMAST-TENANT: bolt", key, NULL },
	    "acme");
	check_account("/look/1",
	    (const char *[]){ "Authorization: bearer " OTHER_KEY, NULL },
	    "bolt");
	check_account("/open/1", (const char *[]){ NULL }, "");
	check_account("/open/1", (const char *[]){ key, NULL }, "acme");
	check_account("/open/1",
	    (const char *[]){ "Authorization: Bearer unknown",
		"Tamarackmast-Tenant: acme", NULL },
	    "");
	g_assert_cmpint(
	    fleet_sum_journals(fleet.services, FLEET_SERVICES, "keys"), ==, 0);
	g_assert_cmpint(
	    fleet_sum_journals(fleet.engines, FLEET_ENGINES, "keys"), ==, 0);
	/* Neither logs nor metrics name a key. */
	for (int i = 0; i < FLEET_GATEWAYS; i++)
		g_assert_false(proc_log_contains(&fleet.gateways[i], "sesame"));
	for (int i = 0; i < FLEET_ENGINES; i++)
		g_assert_false(
		    proc_log_contains(&fleet.engines[i].sidecar, "sesame"));
	fleet_stop();
}

/* Without accounts in the configuration everything is as before. */
static void
test_without_accounts(void)
{
	fleet_start();
	check_code("Authorization: Bearer anything", 200);
	g_assert_cmpint(
	    fleet_sum_journals(fleet.services, FLEET_SERVICES, "keys"), ==, 1);
	fleet_stop();
}

/*
 * Guards against a revoked key that goes on working, as the last of its account
 * too, and against a stream that ends as its key is revoked.
 */
static void
test_revoked_keys(void)
{
	struct response resp;
	int r;

	start(two_accounts);
	fleet_set_faults(fleet.engines, FLEET_ENGINES, "{\"event_ms\": 400}");
	fleet.key = KEY;
	fleet.accounts = "[{\"name\":\"acme\",\"api_keys\":[\"sesame-a3\"]},"
			 "{\"name\":\"bolt\",\"api_keys\":[]}]";
	/* Read while the version that revokes its key comes into force. */
	fleet_configure(OPEN_ROUTE);
	r = fleet_request(&resp, 0, "/stream/1", "m1");
	if (resp.code == 200)
		g_assert_true(fleet_is_complete_stream(&resp, r));
	else
		g_assert_cmpint(resp.code, ==, 401);
	response_clear(&resp);
	await_true(key_is_refused, (void *)KEY, "key revoked");
	await_true(key_is_refused, (void *)OTHER_KEY, "last key revoked");
	await_true(key_works, (void *)"sesame-a3", "key added");
	fleet_stop();
}

#define QUOTA_ACCOUNTS                                                         \
	"[{\"name\":\"acme\",\"api_keys\":[\"" KEY "\"],"                      \
	"\"rate_per_s\":%d,\"burst\":%d},"                                     \
	"{\"name\":\"bolt\",\"api_keys\":[\"" OTHER_KEY "\"]}]"

#define QUOTA_WINDOW_S 10 /* default of [quotas] window_ms */

static int
count_answered(int requests)
{
	int answered = 0;

	for (int i = 0; i < requests; i++) {
		long code = code_of(i % FLEET_GATEWAYS, "/look/1",
		    (const char *[]){ "Authorization: Bearer " KEY, NULL });

		if (code != 200)
			g_assert_true(code == 429 || code == 503);
		answered += code == 200;
	}
	return answered;
}

/*
 * Guards against a quota that each gateway grants by itself, also after a
 * keeper has been killed; and against other accounts that pay for it.
 */
static void
test_quota_of_all_gateways(void)
{
	char *accounts = g_strdup_printf(QUOTA_ACCOUNTS, 2, 40);
	const int bound = 2 * QUOTA_WINDOW_S + 40;
	int answered;

	start(two_accounts);
	fleet.accounts = accounts;
	fleet_configure(OPEN_ROUTE);
	sleep_ms(QUOTA_WINDOW_S * 1000); /* since the sidecars started */
	answered = count_answered(2 * bound);
	proc_kill(&fleet.engines[0].sidecar);
	answered += count_answered(bound);
	fleet_start_sidecar(&fleet.engines[0], "sidecar-0");
	answered += count_answered(bound);
	g_assert_cmpint(answered, <=, bound);
	g_assert_cmpint(answered, >=, bound / 2);
	g_assert_true(key_works((void *)OTHER_KEY));
	fleet_stop();
	g_free(accounts);
}

static bool
is_answered(void *unused)
{
	return count_answered(FLEET_GATEWAYS) == FLEET_GATEWAYS;
}

/* Guards against a raised quota that comes into force late, or not. */
static void
test_raised_quota(void)
{
	char *low = g_strdup_printf(QUOTA_ACCOUNTS, 1, 1);
	char *high = g_strdup_printf(QUOTA_ACCOUNTS, 1000, 1000);

	start(two_accounts);
	fleet.accounts = low;
	fleet_configure(OPEN_ROUTE);
	sleep_ms(2000);
	g_assert_cmpint(count_answered(40), <, 40);
	fleet.accounts = high;
	fleet_configure(OPEN_ROUTE);
	await_true(is_answered, NULL, "raised quota");
	g_assert_cmpint(count_answered(100), ==, 100);
	fleet_stop();
	g_free(low);
	g_free(high);
}

/* ---- the product's own interface ---- */

/* SHA-256 of "sesame-a1" and "sesame-b1". */
#define HASH_A                                                                 \
	"ff03c50fa9fa997680d88049d0a22c26a903a13aa35c3cb8779f0394c907a00a"
#define HASH_B                                                                 \
	"5c7bc8af6a205b8012f10ff7c200fa521580d3eb9bdc5b0ef371f9a45d2f0c08"

static const char own_declarations[] =
    "{\"kind\":\"rank\",\"name\":\"urgent\",\"spec\":{\"order\":0}}"
    "{\"kind\":\"rank\",\"name\":\"draft\",\"spec\":{\"order\":2}}"
    "{\"kind\":\"model\",\"name\":\"alpha\",\"spec\":"
    "{\"memory_mib\":8000,\"max_replicas\":2}}"
    "{\"kind\":\"service\",\"name\":\"booking\",\"spec\":{}}"
    "{\"kind\":\"deployment\",\"name\":\"all\",\"spec\":{}}"
    "{\"kind\":\"account\",\"name\":\"acme\",\"spec\":{\"rank\":\"urgent\","
    "\"rate_per_s\":2,\"burst\":40,\"key_hashes\":[\"" HASH_A "\"]}}"
    "{\"kind\":\"account\",\"name\":\"bolt\",\"spec\":"
    "{\"key_hashes\":[\"" HASH_B "\"]}}";

static long
call_entry(struct cluster *c, int entry, const char *key)
{
	char *header = g_strdup_printf("Authorization: Bearer %s", key);
	const char *headers[] = { "Tenant: bolt", "Rank: draft",
		key == NULL ? NULL : header, NULL };
	struct response resp;
	long code;

	http_call(&resp, "GET", c->entries[entry].http, "/services/booking/x",
	    headers, NULL);
	code = resp.code;
	response_clear(&resp);
	g_free(header);
	return code;
}

static bool
own_key_is_refused(void *cluster)
{
	return call_entry(cluster, 0, OTHER_KEY) == 401 &&
	       call_entry(cluster, 1, OTHER_KEY) == 401;
}

/*
 * Guards against entries that take an account's name from a header, or that
 * each grant a quota by themselves.
 */
static void
test_own_interface(void)
{
	const struct cluster_options opts = { .entries = 2,
		.engines = 1,
		.services = 2,
		.declarations = own_declarations };
	struct cluster *c = cluster_start(&opts);
	struct response resp;
	int answered = 0;

	g_assert_cmpint(call_entry(c, 0, NULL), ==, 401);
	g_assert_cmpint(call_entry(c, 0, "unknown"), ==, 401);
	sleep_ms(QUOTA_WINDOW_S * 1000);
	for (int i = 0; i < 120; i++) {
		long code = call_entry(c, i % 2, KEY);

		g_assert_true(code == 200 || code == 429);
		answered += code == 200;
	}
	g_assert_cmpint(answered, <=, 2 * QUOTA_WINDOW_S + 40);
	g_assert_cmpint(answered, >=, 30);
	for (int i = 0; i < 20; i++)
		g_assert_cmpint(call_entry(c, i % 2, OTHER_KEY), ==, 200);
	/* A declaration must not hold a key itself. */
	http_call(&resp, "PUT", c->entries[0].http, "/apis/v1/account/acme",
	    NULL, "{\"key_hashes\":[\"sesame-a1\"]}");
	g_assert_cmpint(resp.code, ==, 422);
	response_clear(&resp);
	http_call(&resp, "DELETE", c->entries[0].http, "/apis/v1/account/bolt",
	    NULL, NULL);
	response_clear(&resp);
	await_true(own_key_is_refused, c, "key of a deleted account");
	cluster_stop(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/accounts/at_gateways/keys", test_keys);
	g_test_add_func("/accounts/at_gateways/backend_learns_account",
	    test_backend_learns_account);
	g_test_add_func(
	    "/accounts/at_gateways/without_accounts", test_without_accounts);
	g_test_add_func(
	    "/accounts/at_gateways/revoked_keys", test_revoked_keys);
	g_test_add_func("/accounts/at_gateways/quota_of_all_gateways",
	    test_quota_of_all_gateways);
	g_test_add_func(
	    "/accounts/at_gateways/raised_quota", test_raised_quota);
	g_test_add_func("/accounts/own_interface", test_own_interface);
	return g_test_run();
}
