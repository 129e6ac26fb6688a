/*
 * result -- result codes, each with the outcome that a caller may conclude from
 * it: whether the work has run.
 *
 * docs/RESULT-CODES.md is written from RESULT_TABLE.
 */
#ifndef PROTOCOL_RESULT_H
#define PROTOCOL_RESULT_H

#include <stdbool.h>
#include <stdio.h>

enum outcome {
	OUTCOME_ANSWERED,
	OUTCOME_NOT_RUN, /* the work did not run and will not */
	OUTCOME_UNKNOWN, /* the work may have run, fully or in part */
};

/* name, number, HTTP status, outcome, title, advice to the operator */
#define RESULT_TABLE(X)                                                        \
	X(OK, 0, 200, ANSWERED, "answered", "nothing to do")                   \
	X(BAD_REQUEST, 100, 400, NOT_RUN, "the request is malformed",          \
	    "correct the request; detail names the field")                     \
	X(UNKNOWN_MODEL, 101, 404, NOT_RUN, "no such model",                   \
	    "declare the model, or correct its name")                          \
	X(TOO_LARGE, 102, 413, NOT_RUN, "the request is too large",            \
	    "shorten it, or raise the limit in the settings")                  \
	X(BAD_METHOD, 103, 405, NOT_RUN, "method not allowed here",            \
	    "use the method that the API page names")                          \
	X(UNKNOWN_SERVICE, 104, 404, NOT_RUN, "no such service",               \
	    "declare the service, or correct its name")                        \
	X(UNKNOWN_RANK, 105, 400, NOT_RUN, "no such rank",                     \
	    "declare the rank, or correct the header")                         \
	X(UNKNOWN_ADAPTER, 106, 404, NOT_RUN, "no such adapter",               \
	    "declare the adapter, or correct its name")                        \
	X(NOT_FOUND, 107, 404, NOT_RUN, "no such resource",                    \
	    "check the path; ctl list shows what exists")                      \
	X(NOT_OFFERED, 108, 403, NOT_RUN,                                      \
	    "the deployment does not offer this to the rank",                  \
	    "change the deployment's models, adapters or ranks")               \
	X(KEY_REUSED, 109, 422, NOT_RUN,                                       \
	    "the Idempotency-Key was used for another request",                \
	    "use a new key for each distinct request")                         \
	X(UNAUTHORIZED, 110, 401, NOT_RUN, "credentials are missing or wrong", \
	    "send a token or certificate that this entry accepts")             \
	X(FORBIDDEN, 111, 403, NOT_RUN, "the role does not allow this",        \
	    "use a token with the write role")                                 \
	X(HEADERS_TOO_LARGE, 112, 431, NOT_RUN, "the headers are too large",   \
	    "shorten them, or raise the limit in the settings")                \
	X(DEADLINE_UNREACHABLE, 200, 503, NOT_RUN,                             \
	    "the deadline cannot be met",                                      \
	    "retry after Retry-After, or allow more time")                     \
	X(EXPIRED, 201, 504, NOT_RUN, "the deadline passed while waiting",     \
	    "retry after Retry-After, or allow more time")                     \
	X(QUEUE_FULL, 202, 429, NOT_RUN, "the queue is full",                  \
	    "retry after Retry-After; ctl top shows whose requests fill it")   \
	X(NO_REPLICA, 203, 503, NOT_RUN, "no replica of the model is decided", \
	    "ctl status shows placement; the log or the holder may be "        \
	    "unreachable")                                                     \
	X(LEAVING, 204, 503, NOT_RUN, "the backend server is leaving",         \
	    "nothing: the entry selects another")                              \
	X(STALE_CONFIG, 205, 503, NOT_RUN,                                     \
	    "decided under an older configuration",                            \
	    "nothing: the entry reads the newer one and tries again")          \
	X(LOAD_FAILED, 206, 503, NOT_RUN, "the model could not be loaded",     \
	    "check the engine and the weight store")                           \
	X(MEMORY_FULL, 207, 503, NOT_RUN,                                      \
	    "no accelerator memory can be freed",                              \
	    "reduce replicas or add runners; ctl top shows usage")             \
	X(NOT_READY, 208, 503, NOT_RUN, "this daemon is not ready",            \
	    "/readyz states the reason")                                       \
	X(LOG_UNAVAILABLE, 209, 503, NOT_RUN, "the log service is away",       \
	    "work that needs a log record is refused until it answers")        \
	X(BACKEND_UNREACHABLE, 210, 503, NOT_RUN,                              \
	    "no backend server could be reached",                              \
	    "ctl status shows which VMs answer")                               \
	X(RETRY_BUDGET, 211, 503, NOT_RUN, "the retry budget is spent",        \
	    "backend servers refuse or fail; read their logs")                 \
	X(CANCELLED, 212, 499, NOT_RUN, "cancelled before it ran",             \
	    "nothing: the caller disconnected")                                \
	X(NO_SLOT, 213, 503, NOT_RUN, "the agent holds no slot for the model", \
	    "nothing: the entry selects another")                              \
	X(TOO_MANY_CONNECTIONS, 214, 503, NOT_RUN,                             \
	    "this entry has too many connections",                             \
	    "use another entry, or raise the limit in the settings")           \
	X(PROMPT_BARRED, 215, 503, NOT_RUN,                                    \
	    "the request, or a part of its prompt, crashes backend servers",   \
	    "the lines 'prompt part barred' and 'job barred' name it")         \
	X(QUOTA_EXCEEDED, 216, 429, NOT_RUN,                                   \
	    "the client account's quota is used up",                           \
	    "retry after Retry-After, or raise the account's quota")           \
	X(QUOTA_UNKNOWN, 217, 503, NOT_RUN,                                    \
	    "no daemon that keeps the client account's quota answers",         \
	    "retry after Retry-After; the line 'sidecar lost' names them")     \
	X(OUTCOME_UNKNOWN, 300, 502, UNKNOWN,                                  \
	    "the answer was lost and cannot be settled",                       \
	    "ask the service itself whether the work was done")                \
	X(BACKEND_FAILED, 301, 502, UNKNOWN,                                   \
	    "the backend server failed during the work",                       \
	    "read the backend server's log")                                   \
	X(STREAM_BROKEN, 302, 502, UNKNOWN, "the answer broke off",            \
	    "send repeatable work again")                                      \
	X(KEY_IN_USE, 303, 409, UNKNOWN,                                       \
	    "a request with this Idempotency-Key has no known outcome",        \
	    "ask the service itself whether the work was done")                \
	X(DEADLINE_PASSED, 304, 504, UNKNOWN,                                  \
	    "the deadline passed before the outcome was known",                \
	    "allow more time, or fewer tokens")                                \
	X(ANSWER_TOO_LARGE, 305, 502, UNKNOWN,                                 \
	    "the answer is larger than the limit",                             \
	    "stream it, or raise [http] caller_backlog")                       \
	X(BACKEND_ENDED, 306, 502, UNKNOWN,                                    \
	    "the connection to the backend server was lost during the work",   \
	    "read the backend server's log")                                   \
	X(VERSION_CONFLICT, 400, 409, NOT_RUN,                                 \
	    "another change was accepted first",                               \
	    "get the declaration again, and apply the change to it")           \
	X(PRECONDITION, 401, 412, NOT_RUN, "If-Match names another version",   \
	    "get the declaration again, and apply the change to it")           \
	X(INVALID, 402, 422, NOT_RUN, "the declaration is not valid",          \
	    "detail names the field and its valid values")                     \
	X(VERDICT_UNKNOWN, 403, 504, UNKNOWN,                                  \
	    "the change was sent, its verdict is not known yet",               \
	    "get the declaration; it may still be accepted")                   \
	X(GONE, 404, 410, NOT_RUN, "the version is too old to watch from",     \
	    "list again, and watch from the list's version")                   \
	X(IN_USE, 405, 409, NOT_RUN, "other declarations refer to this one",   \
	    "change or delete the ones that detail names first")               \
	X(MALFORMED, 500, 400, NOT_RUN, "a message could not be decoded",      \
	    "look for a peer that runs another version")                       \
	X(PEER_LOST, 501, 502, UNKNOWN, "the connection to a peer was lost",   \
	    "ctl status shows which VMs answer")                               \
	X(TIMEOUT, 502, 504, UNKNOWN, "a peer did not answer in time",         \
	    "ctl status shows which VMs answer")                               \
	X(INTERNAL, 503, 500, UNKNOWN, "internal error",                       \
	    "report it with the log lines of that time")

enum result {
#define X(name, number, http, outcome, title, advice) RESULT_##name = number,
	RESULT_TABLE(X)
#undef X
};

struct result_info {
	enum result code;
	const char *name; /* as in BAD_REQUEST */
	int http_status;
	enum outcome outcome;
	const char *title; /* for the caller: what has happened */
	const char *advice; /* for the operator: what to do */
};

/* Returns the entry of code, or that of RESULT_INTERNAL if unknown. */
const struct result_info *result_info(enum result code);

/* Finds an entry by number, or by name in any letter case; NULL: none. */
const struct result_info *result_find(const char *text);

/*
 * Whether callers take the HTTP status to mean that the work did not run and
 * never will: 408, 421, 429 and 503.  Only a result with OUTCOME_NOT_RUN may be
 * reported with one, whoever made the answer.
 */
bool result_status_promises(int http_status);

/*
 * The result to report in place of code: RESULT_OUTCOME_UNKNOWN if the work may
 * have run and code states that it did not, and code itself otherwise.
 */
enum result result_if_run(enum result code, bool may_have_run);

const char *outcome_name(enum outcome);

/* Writes docs/RESULT-CODES.md. */
void result_print_reference(FILE *);

#endif
