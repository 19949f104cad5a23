#include "flamingolatch/delta.h"

#include <zstd.h>

#define DELTA_LEVEL 1
/* Bounds of the window, which has to cover the base and the text. */
#define DELTA_WINDOW_LOG_MIN 10
#define DELTA_WINDOW_LOG_MAX 24

/* Returns the logarithm of a window that covers a number of bytes. */
static int delta_window_log(gsize bytes)
{
	int log = DELTA_WINDOW_LOG_MIN;

	while (log < DELTA_WINDOW_LOG_MAX && ((gsize)1 << log) < bytes)
		log++;
	return log;
}

GBytes *delta_pack(GBytes *base, GBytes *text)
{
	ZSTD_CCtx *context = ZSTD_createCCtx();
	gsize len;
	const void *data = g_bytes_get_data(text, &len);
	gsize base_len = base ? g_bytes_get_size(base) : 0;
	size_t capacity = ZSTD_compressBound(len);
	g_autofree char *packed = g_malloc(capacity);
	size_t packed_len;

	if (!context)
		return NULL;
	ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, DELTA_LEVEL);
	ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
	ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, delta_window_log(base_len + len));
	if (base)
		ZSTD_CCtx_refPrefix(context, g_bytes_get_data(base, NULL), base_len);
	packed_len = ZSTD_compress2(context, packed, capacity, data, len);
	ZSTD_freeCCtx(context);
	return ZSTD_isError(packed_len) ? NULL : g_bytes_new(packed, packed_len);
}

GBytes *delta_unpack(GBytes *base, const void *buf, gsize len, gsize max_bytes)
{
	unsigned long long text_len = ZSTD_getFrameContentSize(buf, len);
	ZSTD_DCtx *context;
	char *text;
	size_t written;

	/* Both error codes are larger than any limit. */
	if (text_len > max_bytes)
		return NULL;
	context = ZSTD_createDCtx();
	if (!context)
		return NULL;
	text = g_malloc(text_len + 1);
	if (base)
		ZSTD_DCtx_refPrefix(context, g_bytes_get_data(base, NULL), g_bytes_get_size(base));
	written = ZSTD_decompressDCtx(context, text, text_len, buf, len);
	ZSTD_freeDCtx(context);
	if (ZSTD_isError(written) || written != text_len) {
		g_free(text);
		return NULL;
	}
	return g_bytes_new_take(text, text_len);
}
