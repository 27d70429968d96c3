/* http1_chunks.c - the framing of chunked bodies, byte by byte. */
#include "http1_chunks.h"

#include <glib.h>

#include "http1_check.h"

/* Each step takes one byte; -1: it is not valid there. */

static int go(http1_chunks_t *c, chunks_state_t to)
{
	c->state = to;
	return 0;
}

static int take_only(http1_chunks_t *c, char ch, char expected,
		     chunks_state_t to)
{
	return ch == expected ? go(c, to) : -1;
}

static int take_digit(http1_chunks_t *c, char ch)
{
	int digit = g_ascii_xdigit_value(ch);

	if (digit < 0 || c->left > UINT64_MAX >> 4)
		return -1;
	c->left = c->left << 4 | (uint64_t)digit;
	return go(c, CHUNKS_SIZE);
}

static int take_after_size(http1_chunks_t *c, char ch)
{
	if (ch == '\r' && c->state == CHUNKS_SIZE)
		return go(c, CHUNKS_SIZE_LF);
	if (ch == ' ' || ch == '\t')
		return go(c, CHUNKS_BLANK);
	return take_only(c, ch, ';', CHUNKS_EXTENSION);
}

/* A line's text, up to its CR. */
static int take_text(http1_chunks_t *c, char ch, chunks_state_t at_cr)
{
	if (ch == '\r')
		return go(c, at_cr);
	return http1_is_text_byte(ch) ? 0 : -1;
}

static int take_name(http1_chunks_t *c, char ch)
{
	if (ch == ':' && c->state == CHUNKS_TRAILER_NAME)
		return go(c, CHUNKS_TRAILER_VALUE);
	return http1_is_token_byte(ch) ? go(c, CHUNKS_TRAILER_NAME) : -1;
}

static int take_byte(http1_chunks_t *c, char ch)
{
	switch (c->state) {
	case CHUNKS_SIZE_FIRST:
		return take_digit(c, ch);
	case CHUNKS_SIZE:
		return g_ascii_isxdigit(ch) ? take_digit(c, ch)
					    : take_after_size(c, ch);
	case CHUNKS_BLANK:
		return take_after_size(c, ch);
	case CHUNKS_EXTENSION:
		return take_text(c, ch, CHUNKS_SIZE_LF);
	case CHUNKS_SIZE_LF:
		return take_only(c, ch, '\n',
				 c->left ? CHUNKS_DATA : CHUNKS_TRAILER_FIRST);
	case CHUNKS_DATA_CR:
		return take_only(c, ch, '\r', CHUNKS_DATA_LF);
	case CHUNKS_DATA_LF:
		return take_only(c, ch, '\n', CHUNKS_SIZE_FIRST);
	case CHUNKS_TRAILER_FIRST:
		return ch == '\r' ? go(c, CHUNKS_END_LF) : take_name(c, ch);
	case CHUNKS_TRAILER_NAME:
		return take_name(c, ch);
	case CHUNKS_TRAILER_VALUE:
		return take_text(c, ch, CHUNKS_TRAILER_LF);
	case CHUNKS_TRAILER_LF:
		return take_only(c, ch, '\n', CHUNKS_TRAILER_FIRST);
	case CHUNKS_END_LF:
		return take_only(c, ch, '\n', CHUNKS_ENDED);
	case CHUNKS_DATA:
	case CHUNKS_ENDED:
		break;
	}
	return -1;
}

/* Takes data of the chunk off the bytes. */
static str_t take_data(http1_chunks_t *c, str_t *bytes)
{
	size_t n = c->left < bytes->n ? (size_t)c->left : bytes->n;
	str_t data = str_n(bytes->p, n);

	*bytes = str_n(bytes->p + n, bytes->n - n);
	c->left -= n;
	if (!c->left)
		c->state = CHUNKS_DATA_CR;
	return data;
}

int http1_chunks_next(http1_chunks_t *c, str_t *bytes, str_t *data)
{
	while (bytes->n && c->state != CHUNKS_ENDED) {
		if (c->state == CHUNKS_DATA) {
			*data = take_data(c, bytes);
			return 1;
		}
		if (take_byte(c, bytes->p[0]) < 0)
			return -1;
		*bytes = str_n(bytes->p + 1, bytes->n - 1);
	}
	return 0;
}

size_t http1_chunks_read(http1_chunks_t *c, str_t bytes)
{
	size_t n = bytes.n;
	str_t data;

	while (http1_chunks_next(c, &bytes, &data) > 0)
		;
	return n - bytes.n;
}

bool http1_chunks_ended(const http1_chunks_t *c)
{
	return c->state == CHUNKS_ENDED;
}
