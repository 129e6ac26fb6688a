#include "entry/refusals.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/problem.h"

enum refusal_kind {
	REFUSAL_CONNECTION,
	REFUSAL_HEADERS,
	REFUSAL_BODY,
	REFUSAL_MALFORMED,
	REFUSAL_COUNT
};

struct entry_refusals {
	char *texts[REFUSAL_COUNT];
	struct http_refusals refusals;
};

static char *
make_text(enum result code, const char *reason, const char *headers)
{
	struct problem p = { .code = code, .outcome = OUTCOME_NOT_RUN };
	json_t *doc = problem_to_json(&p);
	char *body = json_dumps(doc, JSON_COMPACT), *text;

	if (body == NULL || asprintf(&text,
				"HTTP/1.1 %d %s\r\n"
				"Content-Type: application/problem+json\r\n"
				"%sConnection: close\r\n"
				"Content-Length: %zu\r\n\r\n%s",
				result_info(code)->http_status, reason, headers,
				strlen(body), body) == -1)
		abort();
	free(body);
	json_decref(doc);
	return text;
}

const struct http_refusals *
entry_refusals_get(const struct entry_refusals *r)
{
	return &r->refusals;
}

struct entry_refusals *
entry_refusals_create(void)
{
	struct entry_refusals *r = calloc(1, sizeof(*r));

	if (r == NULL)
		abort();
	r->texts[REFUSAL_CONNECTION] = make_text(RESULT_TOO_MANY_CONNECTIONS,
	    "Service Unavailable", "Retry-After: 1\r\n");
	r->texts[REFUSAL_HEADERS] = make_text(
	    RESULT_HEADERS_TOO_LARGE, "Request Header Fields Too Large", "");
	r->texts[REFUSAL_BODY] =
	    make_text(RESULT_TOO_LARGE, "Content Too Large", "");
	r->texts[REFUSAL_MALFORMED] =
	    make_text(RESULT_BAD_REQUEST, "Bad Request", "");
	r->refusals = (struct http_refusals){
		.connection = r->texts[REFUSAL_CONNECTION],
		.memory = r->texts[REFUSAL_CONNECTION],
		.headers = r->texts[REFUSAL_HEADERS],
		.body = r->texts[REFUSAL_BODY],
		.malformed = r->texts[REFUSAL_MALFORMED],
	};
	return r;
}

void
entry_refusals_destroy(struct entry_refusals *r)
{
	if (r == NULL)
		return;
	for (int i = 0; i < REFUSAL_COUNT; i++)
		free(r->texts[i]);
	free(r);
}
