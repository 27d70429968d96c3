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

/*
 * Whether a line, without its CR LF, is the status line of a response: version 1.x, a
 * status of three digits from 100 to 599, a reason without control bytes. 101 is refused,
 * as this daemon never asks for another protocol.
 */
bool http1_status_line_is_valid(str_t line);
/*
 * Whether a line, without its CR LF, is a field: a name without blanks or other bytes that
 * no name may hold, directly before its colon, and a value without control bytes but tabs.
 * A folded line is none.
 */
bool http1_field_line_is_valid(str_t line);
/* Whether all lines of a head, up to its empty line, end with CR LF and are valid. */
bool http1_head_is_valid(str_t head, bool is_response);

#ifdef __cplusplus
}
#endif
#endif
