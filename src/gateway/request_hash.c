#include "gateway/request_hash.h"

#include "common/keyed_hash.h"
#include "protocol/fleet.h"

uint64_t
request_hash(const struct request_params *p, const struct request_text *t,
    const char *key)
{
	struct keyed_hash *h = keyed_hash_begin(key);

	keyed_hash_add_text(h, p->model);
	keyed_hash_add_text(h, p->adapter);
	if (p->part_count > 0 && !p->more_parts) {
		for (unsigned i = 0; i < p->part_count; i++)
			keyed_hash_add(
			    h, &p->parts[i].id, sizeof(p->parts[i].id));
	} else {
		keyed_hash_add(h, &t->method, sizeof(t->method));
		keyed_hash_add_text(h, t->host);
		keyed_hash_add_text(h, t->path);
		keyed_hash_add(h, t->body, t->body_len);
	}
	return keyed_hash_end(h);
}
