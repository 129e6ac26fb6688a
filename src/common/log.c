#include "common/log.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <bsd/string.h>
#include <jansson.h>
#include <uthash.h>

#include "common/clock.h"

#define AREA_MAX 24
#define AREA_LEVELS_MAX 16

struct area_level {
	char area[AREA_MAX];
	enum log_level level;
};

struct log_levels {
	enum log_level base;
	struct area_level areas[AREA_LEVELS_MAX];
	size_t count;
};

/*
 * Lines written in the current window by message and level.  The message is
 * compared by address, since messages are string literals.
 */
struct rate_limit {
	struct {
		const char *msg;
		enum log_level level;
	} key;
	int lines; /* written in the window */
	int64_t suppressed; /* dropped in the window */
	UT_hash_handle hh;
};

struct logger {
	struct logger *parent;
	const struct clock *clock;
	char *process;
	char *area;
	struct log_levels levels; /* in the root logger only */
	int fd;
	/* The fields below are used in the root logger only. */
	int64_t window_start_us; /* of the one-second rate-limit window */
	int window_lines; /* written in the window, at all levels */
	struct rate_limit *rate_limits;
};

static const char *const level_names[] = { "error", "warn", "info", "debug" };

struct logger *
logger_create(const struct logger_options *opts)
{
	struct logger *lg = calloc(1, sizeof(*lg));

	if (lg == NULL)
		return NULL;
	lg->clock = opts->clock;
	lg->process = strdup(opts->process ? opts->process : "");
	lg->area = strdup("main");
	lg->levels.base = opts->level;
	lg->fd = opts->fd;
	return lg;
}

struct logger *
logger_child(struct logger *parent, const char *area)
{
	struct logger *lg = calloc(1, sizeof(*lg));

	if (lg == NULL)
		return NULL;
	lg->parent = parent;
	lg->clock = parent->clock;
	lg->area = strdup(area);
	lg->fd = parent->fd;
	return lg;
}

void
logger_destroy(struct logger *lg)
{
	struct rate_limit *limit, *next;

	if (lg == NULL)
		return;
	HASH_ITER(hh, lg->rate_limits, limit, next) {
		HASH_DEL(lg->rate_limits, limit);
		free(limit);
	}
	free(lg->process);
	free(lg->area);
	free(lg);
}

static struct logger *
find_root(struct logger *lg)
{
	while (lg->parent != NULL)
		lg = lg->parent;
	return lg;
}

void
logger_set_level(struct logger *lg, enum log_level level)
{
	find_root(lg)->levels.base = level;
}

/* Parses "LEVEL", which must be the first word, or "AREA=LEVEL". */
static int
parse_level(struct log_levels *levels, char *word, bool first)
{
	char *name = strchr(word, '=');
	struct area_level *area = &levels->areas[levels->count];
	int level = log_level_parse(name == NULL ? word : name + 1);

	if (level == -1 || first != (name == NULL))
		return -1;
	if (first) {
		levels->base = (enum log_level)level;
		return 0;
	}
	*name = '\0';
	if (word[0] == '\0' || levels->count == AREA_LEVELS_MAX ||
	    strlcpy(area->area, word, AREA_MAX) >= AREA_MAX)
		return -1;
	area->level = (enum log_level)level;
	levels->count++;
	return 0;
}

static int
parse_levels(struct log_levels *levels, const char *text)
{
	char *copy = strdup(text), *rest = copy, *word;
	bool first = true;
	int rc = 0;

	memset(levels, 0, sizeof(*levels));
	while (rc == 0 && (word = strsep(&rest, ",")) != NULL) {
		rc = parse_level(levels, word, first);
		first = false;
	}
	free(copy);
	return rc;
}

bool
log_levels_valid(const char *text)
{
	struct log_levels levels;

	return parse_levels(&levels, text) == 0;
}

int
logger_set_levels(struct logger *lg, const char *text)
{
	struct log_levels levels;

	if (parse_levels(&levels, text) == -1)
		return -1;
	find_root(lg)->levels = levels;
	return 0;
}

static enum log_level
area_level_of(const struct logger *root, const char *area)
{
	for (size_t i = 0; i < root->levels.count; i++) {
		if (strcmp(root->levels.areas[i].area, area) == 0)
			return root->levels.areas[i].level;
	}
	return root->levels.base;
}

int
log_level_parse(const char *name)
{
	for (int i = 0; i <= LOG_LEVEL_DEBUG; i++) {
		if (strcmp(name, level_names[i]) == 0)
			return i;
	}
	return -1;
}

static json_t *
timestamp(const struct clock *clock)
{
	int64_t wall = clock_wall(clock);
	time_t secs = wall / USEC_PER_SEC;
	struct tm tm;
	char day[32];

	gmtime_r(&secs, &tm);
	strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &tm);
	return json_sprintf("%s.%06dZ", day, (int)(wall % USEC_PER_SEC));
}

static void
add_field(json_t *line, const struct log_field *f)
{
	switch (f->type) {
	case LOG_FIELD_STRING:
		json_object_set_new(
		    line, f->key, json_string(f->s ? f->s : ""));
		break;
	case LOG_FIELD_INT:
		json_object_set_new(line, f->key, json_integer(f->i));
		break;
	case LOG_FIELD_DOUBLE:
		json_object_set_new(line, f->key, json_real(f->d));
		break;
	case LOG_FIELD_END:
		break;
	}
}

static void
write_line(int fd, const json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);
	size_t len;

	if (text == NULL)
		return;
	len = strlen(text);
	text[len] = '\n';
	if (write(fd, text, len + 1) < 0) {
		/* There is nowhere to report a failed log write. */
	}
	free(text);
}

static void
write_fields(struct logger *root, enum log_level level, const char *area,
    const char *msg, const struct log_field *fields)
{
	json_t *line = json_object();

	json_object_set_new(line, "ts", timestamp(root->clock));
	json_object_set_new(line, "level", json_string(level_names[level]));
	json_object_set_new(line, "proc", json_string(root->process));
	json_object_set_new(line, "area", json_string(area));
	json_object_set_new(line, "msg", json_string(msg));
	for (const struct log_field *f = fields; f->type != LOG_FIELD_END; f++)
		add_field(line, f);
	write_line(root->fd, line);
	json_decref(line);
}

/* ---- rate limits ---- */

static void
report_suppressed(struct logger *root, const struct rate_limit *limit)
{
	const struct log_field fields[] = { LF_S("of", limit->key.msg),
		LF_S("at", level_names[limit->key.level]),
		LF_I("count", limit->suppressed), { .type = LOG_FIELD_END } };

	write_fields(
	    root, LOG_LEVEL_WARN, root->area, "lines suppressed", fields);
}

static void
start_window(struct logger *root, int64_t now)
{
	struct rate_limit *limit, *next;

	root->window_start_us = now;
	root->window_lines = 0;
	HASH_ITER(hh, root->rate_limits, limit, next) {
		if (limit->suppressed > 0)
			report_suppressed(root, limit);
		limit->suppressed = 0;
		limit->lines = 0;
	}
}

static struct rate_limit *
get_rate_limit(struct logger *root, enum log_level level, const char *msg)
{
	struct rate_limit *limit, probe;

	memset(&probe, 0, sizeof(probe));
	probe.key.msg = msg;
	probe.key.level = level;
	HASH_FIND(hh, root->rate_limits, &probe.key, sizeof(probe.key), limit);
	if (limit != NULL)
		return limit;
	limit = calloc(1, sizeof(*limit));
	if (limit == NULL)
		abort();
	limit->key.msg = msg;
	limit->key.level = level;
	HASH_ADD(hh, root->rate_limits, key, sizeof(limit->key), limit);
	return limit;
}

/* Counts the line against the limits; returns whether it exceeds one. */
static bool
must_drop_line(struct logger *root, enum log_level level, const char *msg)
{
	int64_t now = clock_now(root->clock);
	struct rate_limit *limit;

	if (now - root->window_start_us >= USEC_PER_SEC)
		start_window(root, now);
	limit = get_rate_limit(root, level, msg);
	if (limit->lines < LOG_RATE_PER_MESSAGE &&
	    (level == LOG_LEVEL_ERROR || root->window_lines < LOG_RATE_TOTAL)) {
		limit->lines++;
		root->window_lines++;
		return false;
	}
	limit->suppressed++;
	return true;
}

void
logger_write(struct logger *lg, enum log_level level, const char *msg,
    const struct log_field *fields)
{
	struct logger *root;

	if (lg == NULL)
		return;
	root = find_root(lg);
	if (level > area_level_of(root, lg->area) ||
	    must_drop_line(root, level, msg))
		return;
	write_fields(root, level, lg->area, msg, fields);
}
