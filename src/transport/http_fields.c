#include "transport/http_fields.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <bsd/sys/queue.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

size_t
http_fields_memory(const struct evkeyvalq *fields)
{
	const struct evkeyval *h;
	size_t bytes = 0;

	TAILQ_FOREACH(h, fields, next)
		bytes += HTTP_FIELD_BYTES + strlen(h->key) + strlen(h->value);
	return bytes;
}

static void
remove_field(struct evkeyvalq *fields, struct evkeyval *h)
{
	TAILQ_REMOVE(fields, h, next);
	free(h->key);
	free(h->value);
	free(h);
}

void
http_fields_drop_sent(struct evhttp_request *req)
{
	struct evkeyvalq *fields = evhttp_request_get_output_headers(req);
	struct evkeyval *h, *next;

	TAILQ_FOREACH_SAFE(h, fields, next, next) {
		if (strcasecmp(h->key, "Connection") != 0 &&
		    strcasecmp(h->key, "Proxy-Connection") != 0)
			remove_field(fields, h);
	}
}
