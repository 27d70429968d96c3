/*
 * lib_token.h - the tokens that the fake engine (engine.c) generates. They are
 * a function of model, prompt and index, so that a caller can check that an
 * answer is for its own request, of the right adapter version, and complete.
 */
#ifndef DK_DEV_TOKEN_H
#define DK_DEV_TOKEN_H

#include "util.h"

#include <stdio.h>

#define TOKEN_TEXT_MAX 16

/* Writes token i of the answer of a model ("name@version") to a prompt. */
static inline void token_text(char out[TOKEN_TEXT_MAX], str_t model,
			      str_t prompt, uint32_t i)
{
	uint64_t h = hash_bytes(prompt.p, prompt.n, i);

	h = hash_bytes(model.p, model.n, h);
	snprintf(out, TOKEN_TEXT_MAX, " t%08x", (unsigned)h);
}

#endif
