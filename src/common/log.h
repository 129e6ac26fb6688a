/*
 * log -- structured logging as JSON lines, with rate limits.
 *
 * Each line holds ts (UTC), level, proc, area, msg and the given fields:
 *
 *	log_info(logger, "replica loaded", LF_S("model", name), LF_I("ms", 12));
 *
 * A child logger shares its parent's output, levels and rate limits and has an
 * area of its own.  Each message at each level is limited to
 * LOG_RATE_PER_MESSAGE lines a second, so that no message crowds out another.
 * All levels but error are limited to LOG_RATE_TOTAL lines a second together,
 * so that a flood of requests does not spend the CPU of a small VM on logging.
 * Lines above a limit are dropped and counted; the first line after the second
 * has passed is preceded by one line "lines suppressed" for each message.
 *
 * `msg` must be a string literal: rate limits are kept by its address.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdbool.h>
#include <stdint.h>

#define LOG_RATE_PER_MESSAGE 50 /* lines a second, of one message and level */
#define LOG_RATE_TOTAL 400 /* lines a second, of all levels but error */

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

/* A name and a value on a log line; made by LF_S(), LF_I() and LF_D(). */
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
	const char *process; /* "proc" of each line; NULL: empty */
	enum log_level level;
	int fd; /* output; not closed by the logger */
};

/* Both return NULL if out of memory. */
struct logger *logger_create(const struct logger_options *);
struct logger *logger_child(struct logger *, const char *area);

/* A child must not be used once its parent is destroyed.  Accepts NULL. */
void logger_destroy(struct logger *);
void logger_set_level(struct logger *, enum log_level);

/*
 * Sets the levels from text such as "info" or "warn,rpc=debug": a level for all
 * areas, then exceptions by area.  Returns 0, or -1 without a change if the
 * text is invalid.
 */
int logger_set_levels(struct logger *, const char *text);
bool log_levels_valid(const char *text);

/* Returns the enum log_level of its name in lower case, or -1. */
int log_level_parse(const char *);

/*
 * Writes a line; with a NULL logger it does nothing.  Use the macros below,
 * which terminate the fields.
 */
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
