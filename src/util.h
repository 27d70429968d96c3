/*
 * util.h - length-counted strings, the dynamic buffer, clean-up attributes and
 * hashing: what every other file builds on.
 */
#ifndef DK_UTIL_H
#define DK_UTIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

/* Time is in microseconds, signed, from an arbitrary monotonic origin. */
#define USEC_PER_MSEC 1000LL
#define USEC_PER_SEC 1000000LL

/*
 * A view of n bytes, not NUL-terminated, not owned unless a comment at the
 * field says so. An empty view may have p == NULL.
 */
typedef struct str {
	const char *p;
	size_t n;
} str_t;

/* Format a str_t with "%.*s". */
#define STR_ARG(s) (int)(s).n, (s).p ? (s).p : ""
/* A str_t from a string literal. */
#define STR(lit) str_n(lit, sizeof(lit) - 1)

static inline str_t str_n(const char *p, size_t n)
{
	str_t s;

	s.p = p;
	s.n = n;
	return s;
}

/* View of a NUL-terminated string; NULL gives the empty view. */
str_t str_c(const char *s);
bool str_eq(str_t a, str_t b);
/* Orders by bytes, shorter first among equals; as memcmp(). */
int str_cmp(str_t a, str_t b);
/* NUL-terminated copy owned by the caller; never NULL (aborts without memory). */
char *str_dup(str_t s);
/* Owned copy as a str_t; free with str_free(). */
str_t str_copy(str_t s);
void str_free(str_t *s);
/* Decimal digits only, all of s; 0, or -1 on anything else or overflow. */
int str_to_u64(str_t s, uint64_t *out);
/*
 * Splits s at the first sep into *head and *tail; false (head = s, tail
 * empty) where sep does not occur.
 */
bool str_split(str_t s, char sep, str_t *head, str_t *tail);

/* The one dynamic buffer. Zero-initialize; free with buf_free(). */
typedef struct buf {
	char *p; /* owned; always NUL-terminated when not NULL */
	size_t n;
	size_t cap;
} buf_t;

void buf_put(buf_t *b, const void *p, size_t n);
void buf_puts(buf_t *b, const char *s);
void buf_printf(buf_t *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Makes room for n more bytes and returns where they go. */
char *buf_reserve(buf_t *b, size_t n);
/* Drops the first n bytes. */
void buf_consume(buf_t *b, size_t n);
void buf_reset(buf_t *b);
void buf_free(buf_t *b);
str_t buf_str(const buf_t *b);

/* Declares a local that the function calls with its address at scope exit. */
#define CLEANUP(fn) __attribute__((cleanup(fn)))
void cleanup_free(void *pp); /* pp is the address of a malloc()ed pointer */
#define AUTO_FREE CLEANUP(cleanup_free)
#define AUTO_BUF CLEANUP(buf_free)

/* Allocation that aborts where there is no memory. */
void *xmalloc(size_t n);
void *xcalloc(size_t n, size_t size);
void *xrealloc(void *p, size_t n);

/* Seed for a generator of random numbers, from the system. */
uint64_t random_seed(void);

/* 64-bit hash of bytes (xxHash XXH3). */
uint64_t hash_bytes(const void *p, size_t n, uint64_t seed);
/*
 * Rendezvous (highest random weight) score of a key on a node; Thaler and
 * Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
uint64_t rendezvous_score(uint64_t key_hash, uint32_t node);

#ifdef __cplusplus
}
#endif
#endif
