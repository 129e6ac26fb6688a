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

/* ---- names that the Connection fields list ---- */

struct name {
	const char *text;
	size_t len;
};

struct http_listed_fields {
	size_t count;
	struct name names[]; /* sorted */
};

static int
compare_names(const void *a, const void *b)
{
	const struct name *x = a, *y = b;
	int rc =
	    strncasecmp(x->text, y->text, x->len < y->len ? x->len : y->len);

	if (rc != 0 || x->len == y->len)
		return rc;
	return x->len < y->len ? -1 : 1;
}

/* Finds the next name of a list, and returns what follows it. */
static const char *
next_name(const char *list, struct name *name)
{
	list += strspn(list, " \t,");
	name->text = list;
	list += strcspn(list, ",");
	name->len = (size_t)(list - name->text);
	while (name->len > 0 && (name->text[name->len - 1] == ' ' ||
				    name->text[name->len - 1] == '\t'))
		name->len--;
	return list;
}

/* names NULL: only counts. */
static size_t
collect_names(const struct evkeyvalq *fields, struct name *names)
{
	const struct evkeyval *h;
	struct name name;
	size_t count = 0;

	TAILQ_FOREACH(h, fields, next) {
		const char *list = h->value;

		if (strcasecmp(h->key, "Connection") != 0)
			continue;
		for (list = next_name(list, &name); name.len > 0;
		     list = next_name(list, &name)) {
			if (names != NULL)
				names[count] = name;
			count++;
		}
	}
	return count;
}

struct http_listed_fields *
http_listed_fields_create(const struct evkeyvalq *fields)
{
	size_t count = collect_names(fields, NULL);
	struct http_listed_fields *l;

	if (count == 0)
		return NULL;
	l = malloc(sizeof(*l) + count * sizeof(l->names[0]));
	if (l == NULL)
		abort();
	l->count = collect_names(fields, l->names);
	qsort(l->names, l->count, sizeof(l->names[0]), compare_names);
	return l;
}

void
http_listed_fields_destroy(struct http_listed_fields *l)
{
	free(l);
}

bool
http_listed_fields_has(const struct http_listed_fields *l, const char *name)
{
	struct name key = { .text = name, .len = strlen(name) };

	return l != NULL && bsearch(&key, l->names, l->count,
				sizeof(l->names[0]), compare_names) != NULL;
}
