/*
 * api -- HTTP handlers of the entry, for callers and operators.
 *
 * Each takes a struct entry and answers the request, at once or later.
 */
#ifndef ENTRY_API_H
#define ENTRY_API_H

struct entry;
struct evhttp_request;

/* POST /v1/completions */
void api_completions(void *entry, struct evhttp_request *);
/* GET /v1/models */
void api_models(void *entry, struct evhttp_request *);
/* /services/NAME/... */
void api_services(void *entry, struct evhttp_request *);
/* /apis/v1/KIND[/NAME] */
void api_resources(void *entry, struct evhttp_request *);
/* GET /apis/v1/top */
void api_top(void *entry, struct evhttp_request *);
/* POST /apis/v1/drain/VM */
void api_drain(void *entry, struct evhttp_request *);
/* GET /apis/v1/trace/ID */
void api_trace(void *entry, struct evhttp_request *);
/* GET /apis/v1/status */
void api_status(void *entry, struct evhttp_request *);

#endif
