/*
 * util.h - strings with a length, the growable buffer, cleanup attributes,
 * allocation and hashing, for all other files.
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

/* Times are signed, in microseconds from an arbitrary monotonic origin. */
#define USEC_PER_MSEC 1000LL
#define USEC_PER_SEC 1000000LL

/*
 * A view of n bytes, not NUL-terminated. It does not own them unless a comment
 * at the field says so. An empty view may have p == NULL.
 */
typedef struct str {
	const char *p;
	size_t n;
} str_t;

/* Arguments for a str_t formatted by "%.*s". */
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
/* Compares by bytes, a prefix before the longer string; result as memcmp(). */
int str_cmp(str_t a, str_t b);
/* NUL-terminated copy owned by the caller; aborts if out of memory. */
char *str_dup(str_t s);
/* Owned copy as a str_t; free with str_free(). */
str_t str_copy(str_t s);
void str_free(str_t *s);
/* Parses s as decimal digits only; 0, or -1 on anything else or on overflow. */
int str_to_u64(str_t s, uint64_t *out);
/*
 * Splits s at the first sep into *head and *tail; false (head = s, tail
 * empty) where sep does not occur.
 */
bool str_split(str_t s, char sep, str_t *head, str_t *tail);

/* A growable buffer. Zero-initialize; free with buf_free(). */
typedef struct buf {
	char *p; /* owned; always NUL-terminated when not NULL */
	size_t n;
	size_t cap;
} buf_t;

/* These append. */
void buf_put(buf_t *b, const void *p, size_t n);
void buf_puts(buf_t *b, const char *s);
void buf_printf(buf_t *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/*
 * Reserves room for n more bytes and returns where they go; the caller adds the
 * number of bytes written there to b->n.
 */
char *buf_reserve(buf_t *b, size_t n);
/* Removes the first n bytes. */
void buf_consume(buf_t *b, size_t n);
/* Empties the buffer and keeps its memory. */
void buf_reset(buf_t *b);
/*
 * Gives back memory beyond keep bytes, where more than half of it is not used; all of it
 * where the buffer is empty.
 */
void buf_trim(buf_t *b, size_t keep);
void buf_free(buf_t *b);
str_t buf_str(const buf_t *b);

/* Attribute of a local: fn is called with its address at the end of its scope. */
#define CLEANUP(fn) __attribute__((cleanup(fn)))
void cleanup_free(void *pp); /* pp is the address of a malloc()ed pointer */
#define AUTO_FREE CLEANUP(cleanup_free)
#define AUTO_BUF CLEANUP(buf_free)

/* Allocation that aborts if out of memory. */
void *xmalloc(size_t n);
void *xcalloc(size_t n, size_t size);
void *xrealloc(void *p, size_t n);

/* Random seed for a generator of random numbers, from the system. */
uint64_t random_seed(void);

/* 64-bit hash of bytes (xxHash XXH3). */
uint64_t hash_bytes(const void *p, size_t n, uint64_t seed);
/* A number from 0 up to 1 from a hash; a double holds 53 bits of it. */
double hash_fraction(uint64_t hash);
/*
 * Score of a node for a key in rendezvous (highest random weight) hashing;
 * Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
 * 1998.
 */
uint64_t rendezvous_score(uint64_t key_hash, uint32_t node);

#ifdef __cplusplus
}
#endif
#endif
