/*
 * digest.h - 64-bit digest of several texts, for telling whether two requests are
 * alike. It is cryptographic (BLAKE2b): nobody can make a text that collides with
 * another one's.
 */
#ifndef DK_DIGEST_H
#define DK_DIGEST_H

#include <sodium.h>

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct digest {
	crypto_generichash_state state;
} digest_t;

void digest_init(digest_t *d);
/* Adds a text with its length, so that no two lists of texts are alike. */
void digest_put(digest_t *d, str_t text);
/* Never 0. */
uint64_t digest_end(digest_t *d);

#ifdef __cplusplus
}
#endif
#endif
