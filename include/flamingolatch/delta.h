/**
 * @file delta.h
 * Packs a text as its difference from an earlier one, with zstd.
 *
 * delta_pack() at the sender, delta_unpack() with the same base at the receiver.
 * Without a base the text is only compressed. Packed texts carry a checksum.
 */
#ifndef FLAMINGOLATCH_DELTA_H
#define FLAMINGOLATCH_DELTA_H

#include <glib.h>

/** Packs a text.
 * @param base text that the receiver has, or NULL
 * @return the packed bytes, or NULL when memory is short */
GBytes *delta_pack(GBytes *base, GBytes *text);
/**
 * Restores a text.
 * @param base the base that it was packed with, or NULL
 * @param max_bytes limit on its length
 * @return the text, or NULL when the bytes are malformed, were packed with another base, or the
 *         text is longer than the limit
 */
GBytes *delta_unpack(GBytes *base, const void *buf, gsize len, gsize max_bytes);

#endif
