/* util.c - strings, the growable buffer, allocation and hashing. */
#include "util.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#define BUF_MIN_CAP 64u

void *xmalloc(size_t n)
{
	void *p = malloc(n ? n : 1);

	if (!p)
		abort();
	return p;
}

void *xcalloc(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size ? size : 1);

	if (!p)
		abort();
	return p;
}

void *xrealloc(void *p, size_t n)
{
	void *q = realloc(p, n ? n : 1);

	if (!q)
		abort();
	return q;
}

void cleanup_free(void *pp)
{
	free(*(void **)pp);
}

str_t str_c(const char *s)
{
	return str_n(s, s ? strlen(s) : 0);
}

bool str_eq(str_t a, str_t b)
{
	return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

int str_cmp(str_t a, str_t b)
{
	size_t n = a.n < b.n ? a.n : b.n;
	int r = n ? memcmp(a.p, b.p, n) : 0;

	if (r)
		return r;
	return (a.n > b.n) - (a.n < b.n);
}

char *str_dup(str_t s)
{
	char *p = xmalloc(s.n + 1);

	if (s.n)
		memcpy(p, s.p, s.n);
	p[s.n] = '\0';
	return p;
}

str_t str_copy(str_t s)
{
	return str_n(str_dup(s), s.n);
}

void str_free(str_t *s)
{
	free((char *)s->p);
	s->p = NULL;
	s->n = 0;
}

int str_to_u64(str_t s, uint64_t *out)
{
	uint64_t v = 0;

	if (s.n == 0)
		return -1;
	for (size_t i = 0; i < s.n; i++) {
		uint64_t digit = (uint64_t)(unsigned char)s.p[i] - '0';

		if (digit > 9 || v > (UINT64_MAX - digit) / 10)
			return -1;
		v = v * 10 + digit;
	}
	*out = v;
	return 0;
}

bool str_split(str_t s, char sep, str_t *head, str_t *tail)
{
	const char *at = s.n ? memchr(s.p, sep, s.n) : NULL;

	if (!at) {
		*head = s;
		*tail = str_n(NULL, 0);
		return false;
	}
	*head = str_n(s.p, (size_t)(at - s.p));
	*tail = str_n(at + 1, s.n - head->n - 1);
	return true;
}

char *buf_reserve(buf_t *b, size_t n)
{
	size_t need = b->n + n + 1;

	if (need > b->cap) {
		size_t cap = b->cap ? b->cap : BUF_MIN_CAP;

		while (cap < need)
			cap *= 2;
		b->p = xrealloc(b->p, cap);
		b->cap = cap;
	}
	return b->p + b->n;
}

void buf_put(buf_t *b, const void *p, size_t n)
{
	char *at = buf_reserve(b, n);

	if (n)
		memcpy(at, p, n);
	b->n += n;
	b->p[b->n] = '\0';
}

void buf_puts(buf_t *b, const char *s)
{
	buf_put(b, s, strlen(s));
}

void buf_printf(buf_t *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0)
		return;
	va_start(ap, fmt);
	vsnprintf(buf_reserve(b, (size_t)n), (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->n += (size_t)n;
}

void buf_consume(buf_t *b, size_t n)
{
	if (n > b->n)
		n = b->n;
	if (n == 0)
		return;
	memmove(b->p, b->p + n, b->n - n);
	b->n -= n;
	b->p[b->n] = '\0';
}

void buf_reset(buf_t *b)
{
	b->n = 0;
	if (b->p)
		b->p[0] = '\0';
}

void buf_trim(buf_t *b, size_t keep)
{
	size_t need = b->n + 1 > keep ? b->n + 1 : keep;

	if (!b->n && b->cap > keep) {
		buf_free(b);
		return;
	}
	if (b->cap / 2 < need)
		return;
	b->p = xrealloc(b->p, need);
	b->cap = need;
}

void buf_free(buf_t *b)
{
	free(b->p);
	b->p = NULL;
	b->n = 0;
	b->cap = 0;
}

str_t buf_str(const buf_t *b)
{
	return str_n(b->p, b->n);
}

uint64_t random_seed(void)
{
	uint64_t seed;

	randombytes_buf(&seed, sizeof(seed));
	return seed;
}

uint64_t hash_bytes(const void *p, size_t n, uint64_t seed)
{
	return XXH3_64bits_withSeed(p ? p : "", n, seed);
}

double hash_fraction(uint64_t hash)
{
	return (double)(hash >> 11) / (double)(1ull << 53);
}

uint64_t rendezvous_score(uint64_t key_hash, uint32_t node)
{
	return XXH3_64bits_withSeed(&node, sizeof(node), key_hash);
}
