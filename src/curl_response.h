/*
 * curl_response.h - a response that libcurl receives, held to the same rules as those that
 * http1.c reads: libcurl takes many heads and chunks that are no HTTP/1.1.
 */
#ifndef DK_CURL_RESPONSE_H
#define DK_CURL_RESPONSE_H

#include <curl/curl.h>

#include "http1_check.h"
#include "http1_chunks.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A response under way. Zero but for the callbacks before each transfer. */
typedef struct curl_response {
	/* Each line of heads and trailers, once it is in lines; may be NULL. */
	void (*line)(void *ctx);
	/* Gets the body in pieces; -1 ends the transfer. */
	int (*data)(void *ctx, str_t piece);
	void *ctx;
	http1_lines_t lines;
	http1_chunks_t chunks;
	bool malformed;
} curl_response_t;

/* The next transfer of the handle receives into r, which outlives it. */
void curl_response_attach(curl_response_t *r, CURL *curl);
/* Why a transfer that ended so brought no whole response; NULL: it did. */
const char *curl_response_error(const curl_response_t *r, CURLcode rc);

/* A response whose body is kept. Zero but for max before its transfer. */
typedef struct curl_body {
	curl_response_t response;
	buf_t bytes; /* owned */
	size_t max;  /* a larger body ends the transfer */
	CURLcode rc; /* of the transfer */
} curl_body_t;

/*
 * A handle for one transfer, which receives into b; curl_body_perform() frees it. NULL: out of
 * memory. No handle is used again: libcurl 7.88 continues a field of the handle's last transfer,
 * which is freed, where a response begins with a folded line.
 */
CURL *curl_body_handle(curl_body_t *b, const char *url, long timeout_ms);
/* Runs the transfer. Returns why it has brought no whole response; NULL: it has. */
const char *curl_body_perform(curl_body_t *b, CURL *curl);
void curl_body_free(curl_body_t *b);

#ifdef __cplusplus
}
#endif
#endif
