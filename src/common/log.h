/*
 * log -- JSON lines on standard error.
 *
 * Each line holds ts (UTC), level, area, msg and the given fields:
 *
 *	log_info(logger, "replica loaded", LF_S("model", name), LF_I("ms", 12));
 *
 * A child logger shares its parent's output and level and names its own area.
 * Each kind of line, that is a message at a level, has a budget of
 *LOG_RATE_PER_MESSAGE lines a second, so that no kind hides another; all kinds
 *but errors have one of LOG_RATE_TOTAL, so that a flood of requests costs a
 *small VM little.  What is beyond is counted and told once the second is over,
 *in a line "lines suppressed" of its own.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdbool.h>
#include <stdint.h>

#define LOG_RATE_PER_MESSAGE 50 /* lines a second of one kind */
#define LOG_RATE_TOTAL 400 /* lines a second of all kinds but errors */

struct clock;
struct logger;

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

enum log_field_type {
	LOG_FIELD_END,
	LOG_FIELD_STRING,
	LOG_FIELD_INT,
	LOG_FIELD_DOUBLE,
};

struct log_field {
	const char *key;
	enum log_field_type type;
	const char *s;
	int64_t i;
	double d;
};

#define LF_S(k, v)                                                             \
	{                                                                      \
		.key = (k), .type = LOG_FIELD_STRING, .s = (v)                 \
	}
#define LF_I(k, v)                                                             \
	{                                                                      \
		.key = (k), .type = LOG_FIELD_INT, .i = (int64_t)(v)           \
	}
#define LF_D(k, v)                                                             \
	{                                                                      \
		.key = (k), .type = LOG_FIELD_DOUBLE, .d = (v)                 \
	}

struct logger_options {
	const struct clock *clock;
	const char *process; /* written as "proc" on each line */
	enum log_level level;
	int fd;
};

struct logger *logger_create(const struct logger_options *);
struct logger *logger_child(struct logger *, const char *area);
void logger_destroy(struct logger *);
void logger_set_level(struct logger *, enum log_level);

/*
 * Sets levels by text such as "info" or "warn,rpc=debug": one for all areas,
 * then exceptions.  Returns -1 and changes nothing if the text is wrong.
 */
int logger_set_levels(struct logger *, const char *text);
bool log_levels_valid(const char *text);

/* Parses "error", "warn", "info" or "debug"; -1 for anything else. */
int log_level_parse(const char *);

void logger_write(
    struct logger *, enum log_level, const char *msg, const struct log_field *);

#define LOG_FIELDS_(...)                                                       \
	((const struct log_field[]){                                           \
	    __VA_ARGS__ __VA_OPT__(, ){ .type = LOG_FIELD_END } })
#define log_error(lg, msg, ...)                                                \
	logger_write(lg, LOG_LEVEL_ERROR, msg, LOG_FIELDS_(__VA_ARGS__))
#define log_warn(lg, msg, ...)                                                 \
	logger_write(lg, LOG_LEVEL_WARN, msg, LOG_FIELDS_(__VA_ARGS__))
#define log_info(lg, msg, ...)                                                 \
	logger_write(lg, LOG_LEVEL_INFO, msg, LOG_FIELDS_(__VA_ARGS__))
#define log_debug(lg, msg, ...)                                                \
	logger_write(lg, LOG_LEVEL_DEBUG, msg, LOG_FIELDS_(__VA_ARGS__))

#endif
