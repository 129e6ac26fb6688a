/* daemon_http -- HTTP handlers common to entry and agent. */
#ifndef COORDINATION_DAEMON_HTTP_H
#define COORDINATION_DAEMON_HTTP_H

struct daemon;
struct evhttp_request;

/* GET /metrics */
void daemon_http_metrics(struct daemon *, struct evhttp_request *);
/* GET /healthz; ctx is not used. */
void daemon_http_health(void *ctx, struct evhttp_request *);
/* GET /readyz; reason is NULL if ready. */
void daemon_http_ready(struct evhttp_request *, const char *reason);

#endif
