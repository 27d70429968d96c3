/* compress.c - compression in the zlib format. */
#include "compress.h"

#include <stdlib.h>

#include <zlib.h>

/*
 * A window of 8 KB and few hash entries: manifests repeat themselves within a
 * few hundred bytes, and a daemon has little memory.
 */
#define WINDOW_BITS 13
#define MEMORY_LEVEL 6
/* First byte of the zlib format with this method and window (RFC 1950, 2.2). */
#define FIRST_BYTE ((char)((WINDOW_BITS - 8) << 4 | Z_DEFLATED))
/* Bytes that decompress_append() makes room for at a time. */
#define OUTPUT_STEP (32u << 10)

void compress_append(buf_t *out, str_t bytes)
{
	z_stream z = {0};
	uLong bound;

	if (deflateInit2(&z, Z_BEST_SPEED, Z_DEFLATED, WINDOW_BITS,
			 MEMORY_LEVEL, Z_DEFAULT_STRATEGY) != Z_OK)
		abort(); /* out of memory, as in xmalloc() */
	bound = deflateBound(&z, bytes.n);
	z.next_in = (Bytef *)bytes.p;
	z.avail_in = (uInt)bytes.n;
	z.next_out = (Bytef *)buf_reserve(out, bound);
	z.avail_out = (uInt)bound;
	deflate(&z, Z_FINISH); /* always ends, as the output is large enough */
	out->n += z.total_out;
	deflateEnd(&z);
}

bool compress_is_compressed(str_t bytes)
{
	return bytes.n && bytes.p[0] == FIRST_BYTE;
}

int decompress_append(buf_t *out, str_t bytes, size_t max)
{
	size_t start = out->n;
	z_stream z = {0};
	int rc = Z_OK;

	if (inflateInit(&z) != Z_OK)
		abort(); /* out of memory, as in xmalloc() */
	z.next_in = (Bytef *)bytes.p;
	z.avail_in = (uInt)bytes.n;
	while (rc == Z_OK && out->n - start <= max) {
		z.next_out = (Bytef *)buf_reserve(out, OUTPUT_STEP);
		z.avail_out = OUTPUT_STEP;
		rc = inflate(&z, Z_NO_FLUSH);
		out->n += OUTPUT_STEP - z.avail_out;
	}
	inflateEnd(&z);
	if (rc == Z_STREAM_END && out->n - start <= max)
		return 0;
	out->n = start;
	return -1;
}
