#include "protocol/result.h"

#include <stdlib.h>
#include <strings.h>

static const struct result_info result_table[] = {
#define X(name, number, http, outcome, title, advice)                          \
	{ RESULT_##name, #name, http, OUTCOME_##outcome, title, advice },
	RESULT_TABLE(X)
#undef X
};

#define RESULT_COUNT (sizeof(result_table) / sizeof(result_table[0]))

const struct result_info *
result_info(enum result code)
{
	for (size_t i = 0; i < RESULT_COUNT; i++) {
		if (result_table[i].code == code)
			return &result_table[i];
	}
	return &result_table[RESULT_COUNT - 1];
}

const struct result_info *
result_find(const char *text)
{
	char *end;
	long number = strtol(text, &end, 10);

	for (size_t i = 0; i < RESULT_COUNT; i++) {
		if (*end == '\0' && end != text &&
		    result_table[i].code == number)
			return &result_table[i];
		if (strcasecmp(result_table[i].name, text) == 0)
			return &result_table[i];
	}
	return NULL;
}

bool
result_status_promises(int http_status)
{
	return http_status == 408 || http_status == 421 || http_status == 429 ||
	       http_status == 503;
}

enum result
result_if_run(enum result code, bool may_have_run)
{
	return may_have_run && result_info(code)->outcome == OUTCOME_NOT_RUN
		   ? RESULT_OUTCOME_UNKNOWN
		   : code;
}

const char *
outcome_name(enum outcome outcome)
{
	static const char *const names[] = { "answered", "not_run", "unknown" };

	return names[outcome];
}

void
result_print_reference(FILE *out)
{
	fprintf(out, "# Result codes\n\n"
		     "Written by `make docs` from `src/protocol/result.h`.\n\n"
		     "`not_run`: the work did not run and will not; sending it "
		     "again is safe. `unknown`: it may have run.\n\n"
		     "| number | name | HTTP | outcome | meaning | what to do "
		     "|\n|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < RESULT_COUNT; i++) {
		const struct result_info *r = &result_table[i];

		fprintf(out, "| %d | `%s` | %d | %s | %s | %s |\n", r->code,
		    r->name, r->http_status, outcome_name(r->outcome), r->title,
		    r->advice);
	}
}
