/*
 * log.h - log lines on standard error or standard output: one line of key=value
 * pairs for each event, after a syslog priority and a time in seconds.
 *
 *   <6>ts=12.345678 event=peer_connection_closed peer=3 reason="wrong secret"
 */
#ifndef DK_LOG_H
#define DK_LOG_H

#include "util.h"

#include <syslog.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Lines of a less important priority are not written; LOG_INFO by default. */
void log_set_level(int prio);
/* LOG_* of "err", "warning", "notice", "info" or "debug"; -1 for others. */
int log_level_parse(str_t name);

/*
 * Writes all lines to standard output from now on, as "ts=... host=NAME
 * event=...". Events of event.h are limited to the rates of its table. Writing
 * never waits for a reader: a line that a full pipe does not take is dropped
 * and counted. Call it before threads start.
 */
void log_to_stdout(str_t host);
/* Number of lines dropped as standard output did not take them. */
uint64_t log_dropped_lines(void);

/* One pair of a log line; made by kv_s(), kv_i(), kv_u(), kv_x() or KV_C(). */
typedef struct kv {
	const char *key;
	char kind; /* 's' string, 'i' signed, 'u' unsigned, 'x' hexadecimal */
	str_t s;
	int64_t i;
	uint64_t u;
} kv_t;

static inline kv_t kv_s(const char *key, str_t s)
{
	kv_t kv = {key, 's', s, 0, 0};
	return kv;
}

static inline kv_t kv_i(const char *key, int64_t i)
{
	kv_t kv = {key, 'i', {NULL, 0}, i, 0};
	return kv;
}

static inline kv_t kv_u(const char *key, uint64_t u)
{
	kv_t kv = {key, 'u', {NULL, 0}, 0, u};
	return kv;
}

static inline kv_t kv_x(const char *key, uint64_t u)
{
	kv_t kv = {key, 'x', {NULL, 0}, 0, u};
	return kv;
}

#define KV_C(key, cstr) kv_s(key, str_c(cstr))

/* Writes one line unless prio is less important than the level set. */
void log_write(int prio, const char *event, const kv_t *kvs, size_t n);

/* log_event(LOG_INFO, "lease_lost", kv_u("host", 3), KV_C("reason", why)); */
#define log_event(prio, event, ...)                                     \
	do {                                                            \
		const kv_t log_kvs_[] = {__VA_ARGS__};                  \
		log_write(prio, event, log_kvs_, ARRAY_SIZE(log_kvs_)); \
	} while (0)

/* Appends the pairs as in a log line, without its prefix and newline. */
void log_format(buf_t *out, const kv_t *kvs, size_t n);

#ifdef __cplusplus
}
#endif
#endif
