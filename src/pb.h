/*
 * pb.h - conversion between str_t and the bytes fields of protobuf-c. No bytes
 * are copied: the result points to those of the argument.
 */
#ifndef DK_PB_H
#define DK_PB_H

#include <protobuf-c/protobuf-c.h>

#include "util.h"

/* For a message that is packed or read only while the bytes of s are valid. */
static inline ProtobufCBinaryData pb_bytes(str_t s)
{
	ProtobufCBinaryData b = {s.n, (uint8_t *)(uintptr_t)s.p};

	return b;
}

static inline str_t pb_str(ProtobufCBinaryData b)
{
	return str_n((const char *)b.data, b.len);
}

#endif
