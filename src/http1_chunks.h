/*
 * http1_chunks.h - checks the framing of a chunked body (RFC 9112, section 7.1). http_parser
 * takes any two bytes for the end of a chunk's data, and any bytes behind its size.
 */
#ifndef DK_HTTP1_CHUNKS_H
#define DK_HTTP1_CHUNKS_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum chunks_state {
	CHUNKS_SIZE_FIRST, /* the first digit is awaited */
	CHUNKS_SIZE,
	CHUNKS_BLANK, /* between the size and its extensions */
	CHUNKS_EXTENSION,
	CHUNKS_SIZE_LF,
	CHUNKS_DATA,
	CHUNKS_DATA_CR,
	CHUNKS_DATA_LF,
	CHUNKS_TRAILER_FIRST, /* a trailer or the empty line is awaited */
	CHUNKS_TRAILER_NAME,
	CHUNKS_TRAILER_VALUE,
	CHUNKS_TRAILER_LF,
	CHUNKS_END_LF,
	CHUNKS_ENDED,
} chunks_state_t;

/* A body under way; zero at its start. */
typedef struct http1_chunks {
	chunks_state_t state;
	uint64_t left; /* bytes of the chunk's data to come */
} http1_chunks_t;

/*
 * Takes bytes of a body off the front of *bytes, up to the end of the next piece of its data.
 * Returns 1 with that piece; 0 where no bytes are left or the body has ended; -1 where the
 * next byte is not valid.
 */
int http1_chunks_next(http1_chunks_t *c, str_t *bytes, str_t *data);
/*
 * Reads the next bytes of a body. Returns how many of them are valid: fewer than all where
 * the next one is not, or where the body has ended before it.
 */
size_t http1_chunks_read(http1_chunks_t *c, str_t bytes);
/* The body has ended, with its trailers. */
bool http1_chunks_ended(const http1_chunks_t *c);

#ifdef __cplusplus
}
#endif
#endif
