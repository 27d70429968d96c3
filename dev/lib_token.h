/*
 * lib_token.h - text of the stand-in engine's tokens, from which a caller can
 * tell that an answer is its own, of the right adapter version, and whole.
 */
#ifndef DK_DEV_TOKEN_H
#define DK_DEV_TOKEN_H

#include "util.h"

#include <stdio.h>

#define TOKEN_TEXT_MAX 16

/* Text of the i-th token of the answer of model ("name@version") to prompt. */
static inline void token_text(char out[TOKEN_TEXT_MAX], str_t model,
			      str_t prompt, uint32_t i)
{
	uint64_t h = hash_bytes(prompt.p, prompt.n, i);

	h = hash_bytes(model.p, model.n, h);
	snprintf(out, TOKEN_TEXT_MAX, " t%08x", (unsigned)h);
}

#endif
