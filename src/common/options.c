#include "common/options.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

#include "common/addr.h"
#include "common/log.h"

struct parse_state {
	const struct option_desc *table;
	const char *path;
	void *dst;
	struct options_error *err;
	FILE *file;
	int line;
};

static void *
option_field(void *dst, const struct option_desc *o)
{
	return (char *)dst + o->offset;
}

static bool
is_text(const struct option_desc *o)
{
	return o->type == OPT_STRING || o->type == OPT_ADDR ||
	       o->type == OPT_LEVELS;
}

static int
parse_bool(const char *value, bool *out)
{
	if (strcmp(value, "true") == 0 || strcmp(value, "yes") == 0) {
		*out = true;
		return 0;
	}
	if (strcmp(value, "false") == 0 || strcmp(value, "no") == 0) {
		*out = false;
		return 0;
	}
	return -1;
}

static int
parse_int(const struct option_desc *o, const char *value, int64_t *out)
{
	char *end;

	errno = 0;
	*out = strtoll(value, &end, 10);
	if (errno != 0 || end == value || *end != '\0')
		return -1;
	return *out < o->min || *out > o->max ? -1 : 0;
}

static int
parse_real(const struct option_desc *o, const char *value, double *out)
{
	char *end;

	errno = 0;
	*out = strtod(value, &end);
	if (errno != 0 || end == value || *end != '\0')
		return -1;
	return *out < (double)o->min || *out > (double)o->max ? -1 : 0;
}

static int
parse_text(const struct option_desc *o, const char *value, char **out)
{
	struct addr addr;

	if (o->type == OPT_ADDR && value[0] != '\0' &&
	    addr_parse(&addr, value) == -1)
		return -1;
	if (o->type == OPT_LEVELS && !log_levels_valid(value))
		return -1;
	free(*out);
	*out = strdup(value);
	return *out == NULL ? -1 : 0;
}

static int
set_value(const struct option_desc *o, const char *value, void *dst)
{
	switch (o->type) {
	case OPT_STRING:
	case OPT_ADDR:
	case OPT_LEVELS:
		return parse_text(o, value, option_field(dst, o));
	case OPT_INT:
		return parse_int(o, value, option_field(dst, o));
	case OPT_BOOL:
		return parse_bool(value, option_field(dst, o));
	case OPT_REAL:
		return parse_real(o, value, option_field(dst, o));
	}
	return -1;
}

static void
describe_range(const struct option_desc *o, char *buf, size_t len)
{
	switch (o->type) {
	case OPT_STRING:
		snprintf(buf, len, "text");
		break;
	case OPT_ADDR:
		snprintf(buf, len, "IP:PORT");
		break;
	case OPT_LEVELS:
		snprintf(buf, len,
		    "error, warn, info or debug, then AREA=LEVEL, separated by "
		    "commas");
		break;
	case OPT_BOOL:
		snprintf(buf, len, "true or false");
		break;
	case OPT_INT:
	case OPT_REAL:
		snprintf(buf, len, "%" PRId64 " to %" PRId64 "%s%s", o->min,
		    o->max, o->unit ? " " : "", o->unit ? o->unit : "");
		break;
	}
}

static int
on_ini_value(
    void *ctx, const char *section, const char *name, const char *value)
{
	struct parse_state *st = ctx;
	char range[128];

	if (st->err->text[0] != '\0')
		return 0;
	for (const struct option_desc *o = st->table; o->section != NULL; o++) {
		if (strcmp(o->section, section) != 0 ||
		    strcmp(o->name, name) != 0)
			continue;
		if (set_value(o, value, st->dst) == 0)
			return 1;
		describe_range(o, range, sizeof(range));
		snprintf(st->err->text, sizeof(st->err->text),
		    "%s:%d: [%s] %s = %s: allowed is %s", st->path, st->line,
		    section, name, value, range);
		return 0;
	}
	snprintf(st->err->text, sizeof(st->err->text),
	    "%s:%d: [%s] %s: no such option", st->path, st->line, section,
	    name);
	return 0;
}

/* The installed inih does not pass line numbers, so they are counted here. */
static char *
read_line(char *buf, int len, void *stream)
{
	struct parse_state *st = stream;

	st->line++;
	return fgets(buf, len, st->file);
}

static int
parse_file(struct parse_state *st)
{
	int rc;

	st->file = fopen(st->path, "re");
	if (st->file == NULL) {
		snprintf(st->err->text, sizeof(st->err->text), "%s: %s",
		    st->path, strerror(errno));
		return -1;
	}
	rc = ini_parse_stream(read_line, st, on_ini_value, st);
	fclose(st->file);
	if (rc == 0)
		return 0;
	if (st->err->text[0] == '\0')
		snprintf(st->err->text, sizeof(st->err->text),
		    "%s:%d: not a section, option or comment", st->path, rc);
	return -1;
}

void
options_defaults(const struct option_desc *table, void *dst)
{
	for (const struct option_desc *o = table; o->section != NULL; o++) {
		if (is_text(o))
			*(char **)option_field(dst, o) = NULL;
		if (o->def != NULL)
			(void)set_value(o, o->def, dst);
	}
}

static int
check_required(const struct parse_state *st)
{
	for (const struct option_desc *o = st->table; o->section != NULL; o++) {
		if (!is_text(o) || o->def != NULL)
			continue;
		if (*(char **)option_field(st->dst, o) != NULL)
			continue;
		snprintf(st->err->text, sizeof(st->err->text),
		    "%s: [%s] %s must be given", st->path, o->section, o->name);
		return -1;
	}
	return 0;
}

int
options_load(const struct option_desc *table, const char *path, void *dst,
    struct options_error *err)
{
	struct parse_state st = {
		.table = table, .path = path, .dst = dst, .err = err
	};

	err->text[0] = '\0';
	options_defaults(table, dst);
	if (parse_file(&st) == -1)
		return -1;
	return check_required(&st);
}

void
options_free(const struct option_desc *table, void *dst)
{
	for (const struct option_desc *o = table; o->section != NULL; o++) {
		if (!is_text(o))
			continue;
		free(*(char **)option_field(dst, o));
		*(char **)option_field(dst, o) = NULL;
	}
}

static bool
value_differs(const struct option_desc *o, const void *a, const void *b)
{
	const char *x = (const char *)a + o->offset;
	const char *y = (const char *)b + o->offset;
	const char *s, *t;

	switch (o->type) {
	case OPT_STRING:
	case OPT_ADDR:
	case OPT_LEVELS:
		s = *(char *const *)x;
		t = *(char *const *)y;
		return strcmp(s ? s : "", t ? t : "") != 0;
	case OPT_BOOL:
		return *(const bool *)x != *(const bool *)y;
	case OPT_INT:
		return *(const int64_t *)x != *(const int64_t *)y;
	case OPT_REAL:
		return *(const double *)x != *(const double *)y;
	}
	return false;
}

static void
copy_field(const struct option_desc *o, void *dst, const void *src)
{
	const char *from = (const char *)src + o->offset;

	if (is_text(o)) {
		char **to = option_field(dst, o);

		free(*to);
		*to = strdup(*(char *const *)from);
	} else if (o->type == OPT_BOOL) {
		*(bool *)option_field(dst, o) = *(const bool *)from;
	} else {
		memcpy(option_field(dst, o), from, sizeof(int64_t));
	}
}

void
options_reload(const struct option_desc *table, void *dst, const void *src,
    void (*changed)(void *, const struct option_desc *, bool), void *ctx)
{
	for (const struct option_desc *o = table; o->section != NULL; o++) {
		if (!value_differs(o, dst, src))
			continue;
		if (o->reloadable)
			copy_field(o, dst, src);
		changed(ctx, o, o->reloadable);
	}
}

void
options_print_reference(const struct option_desc *table, FILE *out)
{
	char range[128];

	fprintf(out, "| section | option | default | allowed | reload | "
		     "meaning |\n|---|---|---|---|---|---|\n");
	for (const struct option_desc *o = table; o->section != NULL; o++) {
		describe_range(o, range, sizeof(range));
		fprintf(out, "| %s | `%s` | %s | %s | %s | %s |\n", o->section,
		    o->name,
		    o->def == NULL	? "required"
		    : o->def[0] == '\0' ? "(empty)"
					: o->def,
		    range, o->reloadable ? "yes" : "restart", o->help);
	}
}
