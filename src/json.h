/*
 * json.h - reads members of JSON objects. A member that is missing or of
 * another type gives a default.
 */
#ifndef DK_JSON_H
#define DK_JSON_H

#include <jansson.h>

#include "util.h"

/* Longer times are not taken: sums of some of them have to fit into 64 bits. */
#define JSON_TIME_MAX_US 1e18

/* A view into o; empty by default. */
static inline str_t json_text(const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	return json_is_string(v)
		       ? str_n(json_string_value(v), json_string_length(v))
		       : str_n(NULL, 0);
}

static inline double json_num(const json_t *o, const char *key, double dflt)
{
	const json_t *v = json_object_get(o, key);

	return json_is_number(v) ? json_number_value(v) : dflt;
}

/* A positive integer; 0 by default. */
static inline uint64_t json_whole(const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	return json_is_integer(v) && json_integer_value(v) > 0
		       ? (uint64_t)json_integer_value(v)
		       : 0;
}

/* False by default. */
static inline bool json_flag(const json_t *o, const char *key)
{
	return json_is_true(json_object_get(o, key));
}

/* A number of units of unit_us, as microseconds; dflt_us by default, and where none fits. */
static inline int64_t json_time(const json_t *o, const char *key,
				double unit_us, int64_t dflt_us)
{
	const json_t *v = json_object_get(o, key);
	double us = json_number_value(v) * unit_us;

	return json_is_number(v) && us > -JSON_TIME_MAX_US &&
			       us < JSON_TIME_MAX_US
		       ? (int64_t)us
		       : dflt_us;
}

/* A number of milliseconds, as microseconds; dflt_us by default. */
static inline int64_t json_ms(const json_t *o, const char *key, int64_t dflt_us)
{
	return json_time(o, key, (double)USEC_PER_MSEC, dflt_us);
}

/* A number of seconds, as microseconds; dflt_us by default. */
static inline int64_t json_s(const json_t *o, const char *key, int64_t dflt_us)
{
	return json_time(o, key, (double)USEC_PER_SEC, dflt_us);
}

/*
 * Parses a text of which another writer may have written a part. What the JSON library
 * does not take (bytes that are no UTF-8, an escape of U+0000, an integer beyond 64 bits)
 * spoils the value that holds it, not the text. NULL: it is no JSON for another reason.
 */
json_t *json_load_lenient(str_t text);
/*
 * The same for an object with a list as its member key: an entry of it that is no JSON
 * becomes null.
 */
json_t *json_load_list(str_t text, const char *key);
/* Whether none of the value was spoilt. */
bool json_is_readable(const json_t *v);

static inline void cleanup_json(json_t **v)
{
	json_decref(*v);
}
#define AUTO_JSON CLEANUP(cleanup_json)

#endif
