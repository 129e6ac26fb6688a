#include "entry/api_common.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "coordination/store.h"
#include "entry/account_index.h"
#include "entry/entry.h"
#include "entry/request.h"
#include "protocol/caller.h"
#include "protocol/problem.h"
#include "state/accounts.h"
#include "transport/http_server.h"

#define DEADLINE_MAX_MS (24LL * 3600 * 1000)

void
api_refuse(struct evhttp_request *req, enum result code, const char *detail)
{
	struct problem p = {
		.code = code, .outcome = OUTCOME_NOT_RUN, .detail = detail
	};

	reply_problem(req, &p);
}

bool
api_admit(struct entry *e, struct evhttp_request *req,
    const struct request_options *o)
{
	struct request_refusal refusal;
	struct problem p = { .outcome = OUTCOME_NOT_RUN };

	if (request_check_admission(e->requests, o, &refusal))
		return true;
	p.code = refusal.code;
	p.detail = refusal.detail;
	p.retry_after_ms = refusal.retry_after_ms;
	reply_problem(req, &p);
	return false;
}

bool
api_authenticate(
    struct entry *e, struct evhttp_request *req, struct call_params *params)
{
	if (account_index_check(e->accounts, req, &params->account))
		return true;
	api_refuse(req, RESULT_UNAUTHORIZED, "unknown API key");
	return false;
}

static int
read_deadline(struct evhttp_request *req, int64_t *ms)
{
	const char *text = http_request_header(req, "Deadline-Ms");
	char *end;

	if (text == NULL)
		return 0;
	*ms = strtoll(text, &end, 10);
	return end == text || *end != '\0' || *ms < 1 || *ms > DEADLINE_MAX_MS
		   ? -1
		   : 0;
}

/* The declared rank of an account; NULL: none. */
static const char *
account_rank(const struct config *config, const struct account *account)
{
	const struct config_entry *entry;

	if (account == NULL)
		return NULL;
	entry = config_find(config, DECL_ACCOUNT, account->name);
	return entry == NULL || !entry->valid ||
		       entry->decl.spec.account.rank[0] == '\0'
		   ? NULL
		   : entry->decl.spec.account.rank;
}

static const char *
least_urgent_rank(const struct config *config)
{
	const struct config_entry *entry = NULL, *last = NULL;

	while ((entry = config_next(config, DECL_RANK, entry)) != NULL) {
		if (entry->valid &&
		    (last == NULL || entry->decl.spec.rank.order >
					 last->decl.spec.rank.order))
			last = entry;
	}
	return last == NULL ? "" : last->name;
}

int
api_read_params(
    struct entry *e, struct evhttp_request *req, struct call_params *params)
{
	const struct config *config = store_config(e->daemon->store);
	const struct config_entry *rank;
	int64_t ms = 0;

	params->tenant = params->account == NULL
			     ? http_request_header(req, "Tenant")
			     : params->account->name;
	params->rank = account_rank(config, params->account);
	if (params->rank == NULL)
		params->rank = http_request_header(req, "Rank");
	if (params->rank == NULL)
		params->rank = e->settings.default_rank[0] != '\0'
				   ? e->settings.default_rank
				   : least_urgent_rank(config);
	rank = config_find(config, DECL_RANK, params->rank);
	if (rank == NULL || !rank->valid) {
		api_refuse(req, RESULT_UNKNOWN_RANK, params->rank);
		return -1;
	}
	if (read_deadline(req, &ms) == -1) {
		api_refuse(req, RESULT_BAD_REQUEST,
		    "Deadline-Ms: must be an integer from 1 to 86400000");
		return -1;
	}
	params->deadline_us =
	    clock_now(e->daemon->clock) +
	    (ms > 0 ? ms * USEC_PER_MSEC : rank->decl.spec.rank.deadline_us);
	return 0;
}

/* An empty list allows every name. */
static bool
list_allows(const struct name_list *list, const char *name)
{
	return name == NULL || name[0] == '\0' || list->count == 0 ||
	       name_list_has(list, name);
}

bool
api_offered(const struct entry *e, const char *model, const char *adapter,
    const char *service, const char *rank)
{
	const struct config *config = store_config(e->daemon->store);
	const struct config_entry *entry = NULL;

	while ((entry = config_next(config, DECL_DEPLOYMENT, entry)) != NULL) {
		const struct decl_deployment *d = &entry->decl.spec.deployment;

		if (entry->valid && list_allows(&d->models, model) &&
		    list_allows(&d->adapters, adapter) &&
		    list_allows(&d->services, service) &&
		    list_allows(&d->ranks, rank))
			return true;
	}
	return false;
}
