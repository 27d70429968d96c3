/*
 * log.h - syslog-style lines on standard error: one line of key=value pairs
 * for each event.
 *
 *   <6>ts=12.345678 event=peer_connection_closed peer=3 reason="bad secret"
 */
#ifndef DK_LOG_H
#define DK_LOG_H

#include "util.h"

#include <syslog.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Lowest priority that is written (LOG_ERR .. LOG_DEBUG); default LOG_INFO. */
void log_set_level(int prio);
/* LOG_* of "err", "warning", "notice", "info" or "debug"; -1 for others. */
int log_level_parse(str_t name);

/*
 * Lines of the events of event.h go to standard output as "ts=... host=NAME
 * event=...", bounded by the table, and never wait for a reader: what a full
 * pipe does not take is left out and counted.
 */
void log_to_stdout(str_t host);
/* Lines that a full pipe did not take. */
uint64_t log_lost(void);

/* One value of a log line; made by the KV_* macros. */
typedef struct kv {
	const char *key;
	char kind; /* 's' string, 'i' signed, 'u' unsigned */
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

#define KV_C(key, cstr) kv_s(key, str_c(cstr))

/* Writes one line if prio is at or above the level. */
void log_write(int prio, const char *event, const kv_t *kvs, size_t n);

/* log_event(LOG_INFO, "lease_lost", kv_u("host", 3), KV_C("reason", why)); */
#define log_event(prio, event, ...)                                     \
	do {                                                            \
		const kv_t log_kvs_[] = {__VA_ARGS__};                  \
		log_write(prio, event, log_kvs_, ARRAY_SIZE(log_kvs_)); \
	} while (0)

/* Formats the pairs as log_write() does, without prefix or newline. */
void log_format(buf_t *out, const kv_t *kvs, size_t n);

#ifdef __cplusplus
}
#endif
#endif
