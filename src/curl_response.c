/* curl_response.c - libcurl's callbacks for a response. */
#include "curl_response.h"

/* curl fails a transfer whose callback returns another number than it was given. */
static size_t fail(curl_response_t *r, bool malformed)
{
	r->malformed = malformed;
	return 0;
}

static size_t on_header(char *p, size_t size, size_t n, void *ctx)
{
	curl_response_t *r = ctx;
	str_t line = str_n(p, size * n);

	if (http1_lines_read(&r->lines, line) < 0)
		return fail(r, true);
	if (r->line)
		r->line(r->ctx, line);
	return line.n;
}

static size_t on_body(char *p, size_t size, size_t n, void *ctx)
{
	curl_response_t *r = ctx;
	str_t bytes = str_n(p, size * n);
	str_t piece = bytes;
	int rc;

	if (!r->lines.chunked)
		return r->data(r->ctx, bytes) < 0 ? fail(r, false) : bytes.n;
	while ((rc = http1_chunks_next(&r->chunks, &bytes, &piece)) > 0)
		if (r->data(r->ctx, piece) < 0)
			return fail(r, false);
	return rc < 0 ? fail(r, true) : size * n;
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

bool curl_response_is_whole(const curl_response_t *r)
{
	return !r->lines.chunked || http1_chunks_ended(&r->chunks);
}

const char *curl_response_error(const curl_response_t *r, CURLcode rc)
{
	if (r->malformed)
		return "malformed response";
	if (rc != CURLE_OK)
		return curl_easy_strerror(rc);
	return curl_response_is_whole(r) ? NULL : "incomplete response";
}

static int keep_piece(void *ctx, str_t piece)
{
	curl_body_t *b = ctx;

	if (b->bytes.n + piece.n > b->max)
		return -1;
	buf_put(&b->bytes, piece.p, piece.n);
	return 0;
}

void curl_body_attach(curl_body_t *b, CURL *curl)
{
	b->response.data = keep_piece;
	b->response.ctx = b;
	curl_response_attach(&b->response, curl);
}

void curl_body_free(curl_body_t *b)
{
	buf_free(&b->bytes);
}
