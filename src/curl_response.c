/*
 * curl_response.c - libcurl's callbacks for a response. It fails a transfer where one of them
 * returns another number of bytes than it was given.
 */
#include "curl_response.h"

static size_t on_header(char *p, size_t size, size_t n, void *ctx)
{
	curl_response_t *r = ctx;

	if (http1_lines_read(&r->lines, str_n(p, size * n)) < 0) {
		r->malformed = true;
		return 0;
	}
	if (r->line)
		r->line(r->ctx);
	return size * n;
}

static size_t on_body(char *p, size_t size, size_t n, void *ctx)
{
	curl_response_t *r = ctx;
	str_t bytes = str_n(p, size * n);
	str_t piece;
	int rc;

	if (!r->lines.chunked)
		return r->data(r->ctx, bytes) < 0 ? 0 : bytes.n;
	while ((rc = http1_chunks_next(&r->chunks, &bytes, &piece)) > 0)
		if (r->data(r->ctx, piece) < 0)
			return 0;
	r->malformed = rc < 0;
	return r->malformed ? 0 : size * n;
}

void curl_response_attach(curl_response_t *r, CURL *curl)
{
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, r);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, r);
	/* Chunks are passed on as they come, and taken apart here. */
	curl_easy_setopt(curl, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
}

static bool is_whole(const curl_response_t *r)
{
	return !r->lines.chunked || http1_chunks_ended(&r->chunks);
}

const char *curl_response_error(const curl_response_t *r, CURLcode rc)
{
	if (r->malformed)
		return "malformed response";
	if (rc != CURLE_OK)
		return curl_easy_strerror(rc);
	return is_whole(r) ? NULL : "incomplete response";
}

static int keep_piece(void *ctx, str_t piece)
{
	curl_body_t *b = ctx;

	if (b->bytes.n + piece.n > b->max)
		return -1;
	buf_put(&b->bytes, piece.p, piece.n);
	return 0;
}

CURL *curl_body_handle(curl_body_t *b, const char *url, long timeout_ms)
{
	CURL *curl = curl_easy_init();

	if (!curl)
		return NULL;
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	b->response.data = keep_piece;
	b->response.ctx = b;
	curl_response_attach(&b->response, curl);
	return curl;
}

const char *curl_body_perform(curl_body_t *b, CURL *curl)
{
	b->rc = curl ? curl_easy_perform(curl) : CURLE_FAILED_INIT;
	curl_easy_cleanup(curl);
	return curl_response_error(&b->response, b->rc);
}

void curl_body_free(curl_body_t *b)
{
	buf_free(&b->bytes);
}
