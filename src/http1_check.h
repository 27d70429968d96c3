/*
 * http1_check.h - refuses messages that are not HTTP/1.1 (RFC 9112) though http_parser or
 * libcurl read them: the next reader may read something else, or find another end.
 */
#ifndef DK_HTTP1_CHECK_H
#define DK_HTTP1_CHECK_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A byte of a field's value or of a reason phrase: no control byte but a tab. */
bool http1_is_text_byte(char ch);
/* A byte of a field's name. */
bool http1_is_token_byte(char ch);

/* What the next line of a message is. */
typedef enum http1_line_kind {
	HTTP1_AT_STATUS,
	HTTP1_AT_REQUEST,
	HTTP1_AT_FIELD,
	HTTP1_AT_TRAILER,
} http1_line_kind_t;

/* The lines of a message up to now; zero before the first one of a response. */
typedef struct http1_lines {
	http1_line_kind_t at;
	int status; /* of a response */
	bool is_1_0;
	bool chunked;
	unsigned int n_framing; /* fields that delimit the body */
	uint64_t length;	/* of the body; 0: not stated */
	/* Of the line read last, into its bytes; name is empty where it is no field. */
	str_t name;
	str_t value; /* without the blanks around it */
} http1_lines_t;

/*
 * Reads the next line, with its CR LF. Returns -1 where it is no HTTP/1.1:
 * - a status line: version 1.x, a status of three digits from 100 to 599, one space, and a
 *   reason without control bytes. 101 is none, as this daemon never asks for another
 *   protocol;
 * - a field: a name that is a token, directly before its colon, and a value without control
 *   bytes but tabs. A folded line is none;
 * - the empty line: of a head whose framing is clear, by one length or by chunks alone, and
 *   which announces no body where its status has none.
 */
int http1_lines_read(http1_lines_t *l, str_t line);
/* The line read last is a field of an answer that is not an interim one. */
static inline bool http1_lines_in_answer(const http1_lines_t *l)
{
	return l->at == HTTP1_AT_FIELD && l->status >= 200 && l->name.n;
}

/* Reads the next line off the front of *head. Returns 1; 0 where none is left; or -1. */
int http1_lines_next(http1_lines_t *l, str_t *head);

#ifdef __cplusplus
}
#endif
#endif
