/*
 * compress.h - compression of bytes that the replicated log stores and the feed
 * distributes, in the zlib format (RFC 1950).
 */
#ifndef DK_COMPRESS_H
#define DK_COMPRESS_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Appends the compressed bytes to out. */
void compress_append(buf_t *out, str_t bytes);
/* Whether bytes begin like compressed ones; no JSON text does. */
bool compress_is_compressed(str_t bytes);
/*
 * Appends the bytes from which compress_append() made these. Returns 0, or -1
 * if they are corrupt or stand for more than max bytes.
 */
int decompress_append(buf_t *out, str_t bytes, size_t max);

#ifdef __cplusplus
}
#endif
#endif
