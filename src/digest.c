/* digest.c - 64-bit digest of several texts. */
#include "digest.h"

#include <string.h>

/* 64 bits are enough to tell requests apart, and to find no second one. */
#define RESULT_BYTES crypto_generichash_BYTES_MIN

static void update(digest_t *d, const void *p, size_t n)
{
	crypto_generichash_update(&d->state, p, n);
}

void digest_init(digest_t *d)
{
	crypto_generichash_init(&d->state, NULL, 0, RESULT_BYTES);
}

void digest_put(digest_t *d, str_t text)
{
	uint64_t n = text.n;

	update(d, &n, sizeof(n));
	if (n)
		update(d, text.p, n);
}

uint64_t digest_end(digest_t *d)
{
	unsigned char result[RESULT_BYTES];
	uint64_t digest;

	crypto_generichash_final(&d->state, result, sizeof(result));
	memcpy(&digest, result, sizeof(digest));
	return digest ? digest : 1;
}
